import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { play, step } from './takeOverPlay.ts';

/** Time after the last fault within which every open item must be at a worker again, in ms. */
const MAX_IDLE_MS = 6000;

// Guards against items that no dispatcher starts after take-overs under any faults of nodes, their links and the platform.
test('after any take-overs every open item is soon at a worker again and its result is stored', async () => {
  const seeds = fc.integer({ min: 1, max: 1e6 });
  const steps = fc.array(step, { minLength: 1, maxLength: 12, size: 'max' });
  await fc.assert(
    fc.asyncProperty(seeds, steps, fc.boolean(), async (seed, faults, verifies) => {
      const { unstored, wrong, holders, longestIdleMs } = await play(seed, faults, { verifies });
      expect({ unstored, wrong, holders }).toEqual({ unstored: [], wrong: [], holders: 1 });
      expect(longestIdleMs < MAX_IDLE_MS).toEqual(true);
    }),
    { seed: 20261206, numRuns: 40 },
  );
});

// Guards against a late claim that leaves the pool without a dispatcher: items were at no worker for 58.6 s (seed 20457 of a
// hunt with the steps of this file).
test('items go on after a claim that the platform carries out after the paused holder is back', async () => {
  const { longestIdleMs, unstored } = await play(20457, [
    { fault: 'loss', node: 'c', durationMs: 3451, waitMs: 2435 },
    { fault: 'pause-holder', node: 'a', durationMs: 3992, waitMs: 657 },
  ]);
  expect(unstored).toEqual([]);
  expect(longestIdleMs < MAX_IDLE_MS).toEqual(true);
});

// Guards against a late read by which a holder gives up a pool that it has claimed since: items were at no worker for 59.8 s
// (seed 95393 of a hunt with the steps of this file).
test('items go on after the response to a verification arrives after the next election', async () => {
  const { longestIdleMs, unstored } = await play(
    95393,
    [
      { fault: 'slow', node: 'b', durationMs: 4827, waitMs: 2337 },
      { fault: 'isolate', node: 'b', durationMs: 2880, waitMs: 672 },
      { fault: 'kill-holder', node: 'b', durationMs: 5943, waitMs: 1041 },
      { fault: 'isolate-holder', node: 'a', durationMs: 2195, waitMs: 1693 },
      { fault: 'isolate', node: 'c', durationMs: 1446, waitMs: 1446 },
      { fault: 'isolate-holder', node: 'd', durationMs: 2981, waitMs: 1733 },
      { fault: 'slow', node: 'a', durationMs: 4851, waitMs: 1126 },
    ],
    { verifies: true },
  );
  expect(unstored).toEqual([]);
  expect(longestIdleMs < MAX_IDLE_MS).toEqual(true);
});
