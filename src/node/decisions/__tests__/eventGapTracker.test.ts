import { test } from 'node:test';
import { expect } from 'earl';
import { EventGapTracker } from '../eventGapTracker.ts';

const recordGaps = (
  tracker: EventGapTracker,
  worker: string,
  gapMs: number,
  nowMs: number,
  count = 4,
) => {
  for (let index = 0; index < count; index += 1) tracker.record(worker, gapMs, nowMs);
};

// Guards against long items that stay on a worker that has become slow.
test('a worker with three times the median gap is slow after three events', () => {
  const tracker = new EventGapTracker();
  for (const worker of ['a', 'b', 'c']) recordGaps(tracker, worker, 30, 0);
  recordGaps(tracker, 'd', 90, 0, 3);
  expect(tracker.isSlow('d', 10)).toEqual(true);
  expect(tracker.isSlow('a', 10)).toEqual(false);
  expect(Math.round(tracker.slowdownOf('d', 10))).toEqual(3);
});

// Guards against a worker that is judged slow against expired measurements when it is the only busy one.
test('the only worker with current measurements is not slow, and the median is at most its own gap', () => {
  const tracker = new EventGapTracker();
  for (const worker of ['a', 'b', 'c']) recordGaps(tracker, worker, 30, 0);
  recordGaps(tracker, 'd', 90, 3500, 20);
  expect(tracker.isSlow('d', 3500)).toEqual(false);
  expect((tracker.medianGapMs ?? 0) <= 90).toEqual(true);
});

// Guards against never using a worker again because it was slow once.
test('a slow worker has a slowdown of 1 once its measurement has expired', () => {
  const tracker = new EventGapTracker();
  for (const worker of ['a', 'b', 'c']) recordGaps(tracker, worker, 30, 0);
  recordGaps(tracker, 'd', 90, 0);
  expect(tracker.slowdownOf('d', 4000)).toEqual(1);
});

// Guards against classifying a worker as slow because of one late event.
test('a worker with a single long gap is not slow', () => {
  const tracker = new EventGapTracker();
  for (const worker of ['a', 'b', 'c']) recordGaps(tracker, worker, 30, 0);
  tracker.record('d', 200, 0);
  expect(tracker.isSlow('d', 1)).toEqual(false);
});

// Guards against equal workers that look fast or slow by turns because their events are read several at a time.
test('a worker whose events are read five at a time has the gap of one whose events are read one by one', () => {
  const tracker = new EventGapTracker();
  for (let nowMs = 20; nowMs <= 1000; nowMs += 20) {
    for (const worker of ['a', 'b']) tracker.record(worker, 20, nowMs);
    if (nowMs % 100 > 0) continue;
    tracker.record('c', 100, nowMs);
    for (let event = 0; event < 4; event += 1) tracker.record('c', 0, nowMs);
  }
  expect(Math.round(tracker.medianGapMs ?? 0)).toEqual(20);
  expect(Math.round(10 * tracker.slowdownOf('c', 1000))).toEqual(10);
});
