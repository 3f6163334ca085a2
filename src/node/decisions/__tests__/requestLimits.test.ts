import { test } from 'node:test';
import { expect } from 'earl';
import { RequestLimits } from '../requestLimits.ts';

test('a worker that no longer names a limit is free again, and an older report does not restore it', () => {
  const limits = new RequestLimits();
  expect(limits.observe('w', 5, 100)).toEqual('named');
  expect(limits.observe('w', 5, 200)).toEqual(undefined);
  expect(limits.observe('w', undefined, 300)).toEqual('lifted');
  expect(limits.observe('w', 5, 250)).toEqual(undefined);
  expect(limits.of('w')).toEqual(undefined);
  expect(limits.observe('w', 2, 400)).toEqual('named');
});

test('answers of the last second are counted', () => {
  const limits = new RequestLimits();
  for (let nowMs = 0; nowMs < 3000; nowMs += 50) limits.recordAnswer('w', undefined, nowMs);
  expect(limits.answersInLastSecond('w', 3000)).toEqual(20);
  expect(limits.answersInLastSecond('w', 5000)).toEqual(0);
});

test('limits of workers that are gone are dropped', () => {
  const limits = new RequestLimits();
  limits.observe('gone', 5, 0);
  limits.observe('here', 5, 0);
  limits.retain((worker) => worker === 'here', 10);
  expect(limits.reportsOf(['gone', 'here'], 20)).toEqual([
    { worker: 'here', perSecond: 5, ageMs: 20 },
  ]);
});
