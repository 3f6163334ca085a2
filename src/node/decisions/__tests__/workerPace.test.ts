import { test } from 'node:test';
import { expect } from 'earl';
import { WorkerPace } from '../workerPace.ts';

const feed = (pace: WorkerPace, worker: string, gapMs: number, nowMs: number, count = 4) => {
  for (let index = 0; index < count; index += 1) pace.record(worker, gapMs, nowMs);
};

// Guards against long items that stay on a worker which has turned slow.
test('a worker with three times the usual gap is slow after a few events', () => {
  const pace = new WorkerPace();
  for (const worker of ['a', 'b', 'c']) feed(pace, worker, 30, 0);
  feed(pace, 'd', 90, 0, 3);
  expect(pace.isSlow('d', 10)).toEqual(true);
  expect(pace.isSlow('a', 10)).toEqual(false);
  expect(Math.round(pace.factorOf('d', 10))).toEqual(3);
});

// Guards against a slow worker that sets the measure when it is the only busy one.
test('the usual gap stays while only the slow worker is measured', () => {
  const pace = new WorkerPace();
  for (const worker of ['a', 'b', 'c']) feed(pace, worker, 30, 0);
  feed(pace, 'd', 90, 3500, 20);
  expect(pace.isSlow('d', 3500)).toEqual(false);
  expect((pace.usualGapMs ?? 0) <= 90).toEqual(true);
});

// Guards against a worker that is never used again because it was slow once.
test('an old measurement does not count', () => {
  const pace = new WorkerPace();
  for (const worker of ['a', 'b', 'c']) feed(pace, worker, 30, 0);
  feed(pace, 'd', 90, 0);
  expect(pace.factorOf('d', 4000)).toEqual(1);
});

// Guards against one late event that makes a worker slow.
test('a single gap says nothing', () => {
  const pace = new WorkerPace();
  for (const worker of ['a', 'b', 'c']) feed(pace, worker, 30, 0);
  pace.record('d', 200, 0);
  expect(pace.isSlow('d', 1)).toEqual(false);
});
