import { test } from 'node:test';
import { expect } from 'earl';
import { Stopwatch } from '../clock.ts';
import { VirtualClock } from '../virtualClock.ts';

// Guards against a lease or key that appears younger than it is because one of the two clocks is wrong.
test('a stopwatch reports the larger of wall-clock and monotonic elapsed time', () => {
  const clock = new VirtualClock();
  const stopwatch = new Stopwatch(clock);
  clock.advance(100);
  clock.shiftWallClock(-5000);
  expect(stopwatch.elapsedMs()).toEqual(100);
  clock.shiftWallClock(15_000);
  expect(stopwatch.elapsedMs()).toEqual(10_100);
});

// Guards against timers that run out of order or twice when several become due in one step.
test('a virtual clock runs due timers once and in order', () => {
  const clock = new VirtualClock();
  const order: string[] = [];
  clock.schedule(20, () => order.push('second'));
  clock.schedule(10, () => {
    order.push('first');
    clock.schedule(5, () => order.push('nested'));
  });
  clock.schedule(10, () => order.push('cancelled'))[Symbol.dispose]();
  clock.advance(30);
  clock.advance(30);
  expect(order).toEqual(['first', 'nested', 'second']);
});
