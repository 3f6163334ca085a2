import { test } from 'node:test';
import { expect } from 'earl';
import { selectRunsToRelocate } from '../runRelocation.ts';

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
