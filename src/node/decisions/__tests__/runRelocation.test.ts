import { test } from 'node:test';
import { expect } from 'earl';
import { runsToRelocate } from '../runRelocation.ts';

const run = (name: string, worker: string, goesTo: readonly string[] = ['b', 'c']) => ({
  name,
  worker,
  mayGoTo: (id: string) => goesTo.includes(id),
});
const isSlow = (id: string) => id === 'a';

// Guards against runs that leave a slow worker without a place to go on.
test('as many runs leave a slow worker as find a free slot', () => {
  const runs = [run('1', 'a'), run('2', 'a'), run('3', 'a'), run('4', 'b')];
  const moved = runsToRelocate(runs, isSlow, [
    { id: 'b', room: 1 },
    { id: 'c', room: 1 },
  ]);
  expect(moved.map(({ name }) => name)).toEqual(['1', '2']);
});

// Guards against a run that is moved to a worker whose weights it does not allow.
test('a run stays when no worker with room may continue it', () => {
  const runs = [run('1', 'a', ['c'])];
  expect(runsToRelocate(runs, isSlow, [{ id: 'b', room: 4 }])).toEqual([]);
});
