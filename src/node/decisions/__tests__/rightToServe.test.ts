import { test } from 'node:test';
import { expect } from 'earl';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { RightToServe, startOfCall } from '../rightToServe.ts';

const ISOLATION_MS = 6000;

// Guards against a node that serves before it has heard from anyone, or that counts from an answer's arrival.
test('the right starts with the first word and counts from the sending of the call', () => {
  const clock = new VirtualClock();
  const right = new RightToServe(ISOLATION_MS);
  expect(right.mayServe()).toEqual(false);
  const sentAt = startOfCall(clock);
  clock.advance(4000);
  right.heardFromPlatform(sentAt);
  clock.advance(1999);
  expect(right.mayServe()).toEqual(true);
  clock.advance(1);
  expect(right.mayServe()).toEqual(false);
});

// Guards against a late answer to an old call that replaces newer word.
test('an answer to an earlier call does not shorten the right', () => {
  const clock = new VirtualClock();
  const right = new RightToServe(ISOLATION_MS);
  const early = startOfCall(clock);
  clock.advance(3000);
  right.heardFromPeer(startOfCall(clock));
  right.heardFromPlatform(early);
  clock.advance(5999);
  expect(right.mayServe()).toEqual(true);
});

// Guards against a suspended VM, whose monotonic clock stands still, that resumes and serves on.
test('a wall clock that ran on ends the right, one set back does not extend it', () => {
  const clock = new VirtualClock();
  const right = new RightToServe(ISOLATION_MS);
  right.heardFromPeer(startOfCall(clock));
  clock.shiftWallClock(ISOLATION_MS);
  expect(right.mayServe()).toEqual(false);

  right.heardFromPeer(startOfCall(clock));
  expect(right.mayServe()).toEqual(true);
  clock.shiftWallClock(-60_000);
  clock.advance(ISOLATION_MS);
  expect(right.mayServe()).toEqual(false);
});
