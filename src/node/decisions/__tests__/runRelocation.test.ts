import { test } from 'node:test';
import { expect } from 'earl';
import { selectRunsToRelocate, selectRunsToSave } from '../runRelocation.ts';

const run = (name: string, worker: string, goesTo: readonly string[] = ['b', 'c']) => ({
  name,
  worker,
  canMoveTo: (id: string) => goesTo.includes(id),
});
const isSlow = (id: string) => id === 'a';

// Guards against moving more runs off a slow worker than can be continued elsewhere.
test('three runs on a slow worker and two free slots elsewhere relocate the first two runs', () => {
  const runs = [run('1', 'a'), run('2', 'a'), run('3', 'a'), run('4', 'b')];
  const moved = selectRunsToRelocate(runs, isSlow, [
    { id: 'b', freeSlots: 1 },
    { id: 'c', freeSlots: 1 },
  ]);
  expect(moved.map(({ name }) => name)).toEqual(['1', '2']);
});

// Guards against moving a run to a worker whose weight version it does not permit.
test('a run stays if no worker with free slots may continue it', () => {
  const runs = [run('1', 'a', ['c'])];
  expect(selectRunsToRelocate(runs, isSlow, [{ id: 'b', freeSlots: 4 }])).toEqual([]);
});

const leavingRun = (name: string, expectedMs: number, leavesInMs: number) => ({
  ...run(name, 'a'),
  ...{ expectedMs, leavesInMs },
});

// Guards against runs that break off when their worker is reclaimed, although another one could have continued them.
test('runs that cannot end on a leaving worker move at once, the longest first; those that can end there stay', () => {
  const runs = [leavingRun('long', 3000, 2000), leavingRun('longest', 5000, 2000)];
  const short = leavingRun('short', 900, 2000);
  const saved = selectRunsToSave([...runs, short], [{ id: 'b', freeSlots: 1 }]);
  expect(saved.map(({ name }) => name)).toEqual(['longest']);
});

// Guards against runs that still go on when the worker stops, which count as breaks of the worker and of the item.
test('shortly before the worker stops every run is taken from it, also without a free slot', () => {
  const runs = [leavingRun('long', 3000, 300), leavingRun('short', 200, 300)];
  expect(selectRunsToSave(runs, []).map(({ name }) => name)).toEqual(['long', 'short']);
});
