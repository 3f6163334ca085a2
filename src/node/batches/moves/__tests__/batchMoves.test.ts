import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { BatchNodeHarness, POOL, UNROUTED_POOL } from '../../__tests__/batchNodeHarness.ts';
import { movingStep, play } from '../../__tests__/takeOverPlay.ts';

/** Time after the last fault within which every open item must be at a worker, in ms: as without moves. */
const MAX_IDLE_AFTER_FAULTS_MS = 6000;

/** Time at no worker from which the users' platform counts an item as left, in ms. */
const MAX_IDLE_MS = 5000;

/** A node that runs a batch of a pool whose route has moved to another pool. */
const startAfterMove = async (itemCount = 1): Promise<BatchNodeHarness> => {
  const harness = new BatchNodeHarness();
  await harness.addBatch('b', UNROUTED_POOL, itemCount);
  harness.start();
  await harness.clock.advanceAsync(4000);
  return harness;
};

// Guards against items that reach no worker for the whole time of their step: the route had moved, and the last worker of the
// former pool left (review/10: all items that this worker had not finished).
test('items whose pool loses its last worker after the route moved run in the pool of the route', async () => {
  await using harness = await startAfterMove(12);
  expect(harness.started.length).toEqual(8);
  harness.removeWorker(UNROUTED_POOL);
  await harness.clock.advanceAsync(MAX_IDLE_MS);
  expect(harness.poolsOf.get('b-item')).toEqual([UNROUTED_POOL, POOL]);
  expect(harness.started.length).toEqual(16);
});

// Guards against a move that costs the texts and caches of workers that still run the batch.
test('a batch stays in its pool while that has a worker, although the route has moved', async () => {
  await using harness = await startAfterMove();
  await harness.clock.advanceAsync(30_000);
  expect(harness.poolsOf.get('b-item')).toEqual([UNROUTED_POOL]);
});

// Guards against a batch that is moved to where it cannot run either, and against one that stays when workers come later.
test('a batch is moved once the pool of the route has workers', async () => {
  await using harness = await startAfterMove();
  harness.removeWorker(POOL);
  harness.removeWorker(UNROUTED_POOL);
  await harness.clock.advanceAsync(10_000);
  expect(harness.poolsOf.get('b-item')).toEqual([UNROUTED_POOL]);
  harness.addWorker(POOL);
  await harness.clock.advanceAsync(MAX_IDLE_MS);
  expect(harness.poolsOf.get('b-item')).toEqual([UNROUTED_POOL, POOL]);
});

// Guards against a move that is given up when the platform does not respond.
test('a batch is moved after an outage of the platform', async () => {
  await using harness = await startAfterMove();
  harness.platform.outage = true;
  harness.removeWorker(UNROUTED_POOL);
  await harness.clock.advanceAsync(10_000);
  harness.platform.outage = false;
  await harness.clock.advanceAsync(MAX_IDLE_MS);
  expect(harness.poolsOf.get('b-item')).toEqual([UNROUTED_POOL, POOL]);
});

// Guards against a run of a batch that its trainer ended while its pool had no worker.
test('a batch that ended without workers is not run in the pool of the route', async () => {
  await using harness = new BatchNodeHarness();
  const record = await harness.addBatch('b', UNROUTED_POOL);
  harness.removeWorker(UNROUTED_POOL);
  harness.removeWorker(POOL);
  harness.start();
  await harness.clock.advanceAsync(4000);
  await harness.endBatch(record);
  await harness.clock.advanceAsync(1500);
  harness.addWorker(POOL);
  await harness.clock.advanceAsync(MAX_IDLE_MS);
  expect(harness.started).toEqual([]);
});

// Guards against results with two positions, joined texts and items that no dispatcher runs, when batches are moved while nodes,
// their links and the platform fail.
test('after any moves and faults every open item is soon at a worker and its result is stored once', async () => {
  const seeds = fc.integer({ min: 1, max: 1e6 });
  const steps = fc.array(movingStep, { minLength: 1, maxLength: 12, size: 'max' });
  await fc.assert(
    fc.asyncProperty(seeds, steps, async (seed, faults) => {
      const { unstored, wrong, longestIdleMs } = await play(seed, faults);
      expect({ unstored, wrong }).toEqual({ unstored: [], wrong: [] });
      expect(longestIdleMs < MAX_IDLE_AFTER_FAULTS_MS).toEqual(true);
    }),
    { seed: 20261207, numRuns: 40 },
  );
});
