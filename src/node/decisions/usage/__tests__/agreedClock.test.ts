import { test } from 'node:test';
import { expect } from 'earl';
import { VirtualClock } from '../../../../shared/virtualClock.ts';
import { AgreedClock } from '../agreedClock.ts';

// Guards against requests that are counted in the wrong window after the wall clock of a node was stepped.
test('a step of one of three clocks changes the agreed time by nothing', () => {
  const clock = new VirtualClock();
  const agreed = new AgreedClock(clock);
  const startMs = clock.nowMs();
  agreed.observe('a', startMs + 3);
  agreed.observe('b', startMs - 2);
  clock.shiftWallClock(2000);
  expect(agreed.nowMs()).toEqual(startMs + 3);
  clock.advance(1000);
  expect(agreed.nowMs()).toEqual(startMs + 1003);
  // Delayed messages do not set the clock back.
  agreed.observe('a', startMs + 1003 - 700);
  clock.shiftWallClock(-2000);
  expect(agreed.nowMs()).toEqual(startMs + 1000);
});

// Guards against an agreement with clocks that were read long ago, such as before a pause, and with only one other node.
test('without two other recent clocks the own one counts', () => {
  const clock = new VirtualClock();
  const agreed = new AgreedClock(clock);
  agreed.observe('a', clock.nowMs() - 9000);
  expect(agreed.nowMs()).toEqual(clock.nowMs());
  agreed.observe('b', clock.nowMs() - 9000);
  expect(agreed.nowMs()).toEqual(clock.nowMs() - 9000);
  clock.advance(5000);
  expect(agreed.nowMs()).toEqual(clock.nowMs());
});
