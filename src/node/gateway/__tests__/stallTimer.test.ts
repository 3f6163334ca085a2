import { test } from 'node:test';
import { expect } from 'earl';
import { PausableClock } from '../../../../playground/membership/pausableClock.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { StallTimer } from '../stallTimer.ts';

const startTimer = () => {
  const clock = new VirtualClock();
  const processClock = new PausableClock(clock);
  const stalledAtMs: number[] = [];
  const timer = new StallTimer(processClock, () => stalledAtMs.push(clock.monotonicMs()));
  return { clock, processClock, stalledAtMs, timer };
};

// Guards against streams that are taken from all their workers because the node's own process was paused or starved and
// has not read their events yet.
test('a pause of the process is not taken for silence of the worker', () => {
  const { clock, processClock, stalledAtMs, timer } = startTimer();
  timer.wait(1000);
  processClock.paused = true;
  clock.advance(1500);
  // As in Node, timers that are due run before responses are read.
  processClock.resume();
  timer.wait(1000);
  clock.advance(900);
  timer.stop();
  clock.advance(2000);
  expect(stalledAtMs).toEqual([]);
});

// Guards against a silent worker that is not noticed.
test('a worker that sends nothing is noticed after the limit, also after a pause of the process', () => {
  const { clock, processClock, stalledAtMs, timer } = startTimer();
  const startMs = clock.monotonicMs();
  timer.wait(1000);
  clock.advance(1100);
  expect(stalledAtMs).toEqual([startMs + 1050]);
  timer.wait(1000);
  processClock.paused = true;
  clock.advance(1500);
  processClock.resume();
  clock.advance(100);
  expect(stalledAtMs.length).toEqual(2);
});
