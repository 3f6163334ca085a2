import { test } from 'node:test';
import { expect } from 'earl';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { ServingLease, startCallStopwatch } from '../servingLease.ts';

const ISOLATION_MS = 6000;

// Guards against a node that serves before any call was answered, or that counts the time from the response's arrival.
test('the node may serve from the first answered call until the isolation time after its sending', () => {
  const clock = new VirtualClock();
  const lease = new ServingLease(ISOLATION_MS);
  expect(lease.mayServe()).toEqual(false);
  const sentAt = startCallStopwatch(clock);
  clock.advance(4000);
  lease.renewByPlatform(sentAt);
  clock.advance(1999);
  expect(lease.mayServe()).toEqual(true);
  clock.advance(1);
  expect(lease.mayServe()).toEqual(false);
});

// Guards against a late response to an old call that replaces a newer one.
test('a late response to an earlier call does not shorten the time for which the node may serve', () => {
  const clock = new VirtualClock();
  const lease = new ServingLease(ISOLATION_MS);
  const early = startCallStopwatch(clock);
  clock.advance(3000);
  lease.renewByPeer(startCallStopwatch(clock));
  lease.renewByPlatform(early);
  clock.advance(5999);
  expect(lease.mayServe()).toEqual(true);
});

// Guards against a VM that keeps serving after it was suspended, because its monotonic clock stood still meanwhile.
test('a wall clock set forward by the isolation time ends serving; one set back does not prolong it', () => {
  const clock = new VirtualClock();
  const lease = new ServingLease(ISOLATION_MS);
  lease.renewByPeer(startCallStopwatch(clock));
  clock.shiftWallClock(ISOLATION_MS);
  expect(lease.mayServe()).toEqual(false);

  lease.renewByPeer(startCallStopwatch(clock));
  expect(lease.mayServe()).toEqual(true);
  clock.shiftWallClock(-60_000);
  clock.advance(ISOLATION_MS);
  expect(lease.mayServe()).toEqual(false);
});
