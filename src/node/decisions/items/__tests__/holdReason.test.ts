import { test } from 'node:test';
import { expect } from 'earl';
import { type FreeWorker, holdReason, type SuspicionHold } from '../holdReason.ts';

const reasonOf = ({
  isWaiting = true,
  suspicion = undefined as SuspicionHold | undefined,
  trial = undefined as 'weak' | 'strong' | undefined,
  mayStartRuns = true,
  usableWorkers = 2,
  free = [{ permits: Infinity, version: 2 }] as readonly FreeWorker[],
} = {}) =>
  holdReason(
    { isWaiting, suspicion, trial, allows: (version) => version >= 2 },
    { mayStartRuns, usableWorkers, free },
  );

// Guards against a report that names the wrong cause of items at no worker, or one of items that only wait for their turn.
test('each cause that keeps an item from a free worker has its own reason', () => {
  expect(reasonOf({ free: [] })).toEqual(undefined);
  expect(reasonOf({ free: [], suspicion: 'batch-condemned' })).toEqual('batch-condemned');
  expect(reasonOf({ isWaiting: false })).toEqual('run-not-ended');
  expect(reasonOf({ usableWorkers: 0, free: [] })).toEqual('no-worker');
  expect(reasonOf({ mayStartRuns: false })).toEqual('outdated-view');
  expect(reasonOf({ free: [{ permits: 1, version: 1 }] })).toEqual('weight-version');
  expect(reasonOf({ free: [{ permits: 1, version: undefined }] })).toEqual('weight-version');
  expect(reasonOf({ free: [{ permits: 0, version: 2 }] })).toEqual('request-limit');
  const free = [{ permits: 1, version: 2, trialRoom: 1, hasYoungTrial: true }];
  expect(reasonOf({ trial: 'strong', free })).toEqual('item-suspected');
  expect(reasonOf({ trial: 'weak', free })).toEqual('not-placed');
  expect(reasonOf()).toEqual('not-placed');
});
