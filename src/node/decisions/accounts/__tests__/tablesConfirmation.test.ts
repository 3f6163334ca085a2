import { test } from 'node:test';
import { expect } from 'earl';
import { Stopwatch } from '../../../../shared/clock.ts';
import { VirtualClock } from '../../../../shared/virtualClock.ts';
import { mayAcceptKeys } from '../revocation.ts';
import { TablesConfirmation } from '../tablesConfirmation.ts';

// Guards against keyed requests that are refused in deployments that prefer to serve them, and the other way round.
test('keys are accepted while the tables are confirmed, and without strict revocation always', () => {
  const accepted = (strict: boolean, confirmedAgeMs: number) =>
    mayAcceptKeys({ strict, revokeAfterMs: 5000, confirmedAgeMs });
  expect([0, 4999, 5000, Infinity].map((ageMs) => accepted(true, ageMs))).toEqual([
    ...[true, true, false, false],
  ]);
  expect([0, 5000, Infinity].map((ageMs) => accepted(false, ageMs))).toEqual([true, true, true]);
});

// Guards against peers that keep each other's tables current although none of them reaches the platform.
test('the age that a peer states is added, and a confirmation of another version does not count', () => {
  const clock = new VirtualClock();
  const confirmation = new TablesConfirmation();
  const record = (version: number, ageMs: number | undefined, held = 2) =>
    confirmation.recordPeer({ version, ageMs }, held, new Stopwatch(clock));
  expect(confirmation.ageMs(2)).toEqual(Infinity);
  record(1, 0);
  record(3, 0);
  record(2, undefined);
  record(0, 0, 0);
  expect([confirmation.ageMs(0), confirmation.ageMs(2)]).toEqual([Infinity, Infinity]);
  record(2, 700);
  expect(confirmation.ageMs(2)).toEqual(700);
  clock.advance(1000);
  expect(confirmation.ageMs(2)).toEqual(1700);
  record(2, 2000);
  expect(confirmation.ageMs(2)).toEqual(1700);
  record(2, 300);
  expect(confirmation.ageMs(2)).toEqual(300);
  expect(confirmation.ageMs(3)).toEqual(Infinity);
  record(3, 900, 3);
  expect(confirmation.ageMs(3)).toEqual(900);
});

// Guards against a node that was frozen and takes the answer to a heartbeat of before for a new one.
test('the time between a heartbeat and the handling of its answer counts', () => {
  const clock = new VirtualClock();
  const confirmation = new TablesConfirmation();
  const sentAt = new Stopwatch(clock);
  clock.advance(6000);
  confirmation.recordPeer({ version: 2, ageMs: 100 }, 2, sentAt);
  expect(confirmation.ageMs(2)).toEqual(6100);
});
