import { test } from 'node:test';
import { expect } from 'earl';
import { UncertainEnd } from '../uncertainEnd.ts';

// Guards against a stream that passes for complete because the worker that continued it crashed before its first event.
test('an end is confirmed by a second one at the same event, and never before the first event', () => {
  const end = new UncertainEnd();
  expect([0, 0, 5, 9, 9].map((lastEvent) => end.confirm(lastEvent))).toEqual([
    ...[false, false, false, false, true],
  ]);
});
