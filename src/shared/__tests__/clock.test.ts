import { test } from 'node:test';
import { expect } from 'earl';
import { sleep, Stopwatch, systemClock } from '../clock.ts';
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

// Guards against time limits of over 24.8 days that expire at once: Node's timers take 31 bits.
test('a delay beyond 31 bits does not expire at once', async () => {
  const expired: number[] = [];
  const timers = [2 ** 31, 2 ** 40, Infinity].map((delayMs) =>
    systemClock.schedule(delayMs, () => expired.push(delayMs)),
  );
  await sleep(systemClock, 30);
  for (const timer of timers) timer[Symbol.dispose]();
  expect(expired).toEqual([]);
});
