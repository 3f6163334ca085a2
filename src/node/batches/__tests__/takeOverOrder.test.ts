import { test } from 'node:test';
import { expect } from 'earl';
import { MAX_FIRST_LOAD_MS } from '../constants.ts';
import { BatchNodeHarness } from './batchNodeHarness.ts';

/** Slots of the pool in the harness. */
const SLOTS = 8;

/** A node that takes over an older batch of one item, whose load takes a while, and a newer one that fills the pool. */
const startTakeOver = async () => {
  const harness = new BatchNodeHarness();
  await harness.addFormerDispatcher();
  await harness.addBatch('older');
  await harness.clock.advanceAsync(4000);
  await harness.addBatch('newer', undefined, 2 * SLOTS);
  harness.platform.hold('batch-items/older');
  harness.start();
  return harness;
};

// Guards against a step that misses its deadline after a take-over because a newer step was loaded first and took all slots
// (czujka-ops, seven items of step 0 waited 0.4 s to 0.7 s for items of step 1).
test('after a take-over the items of an older batch start before those of one that was loaded first', async () => {
  await using harness = await startTakeOver();
  while (harness.platform.heldCount === 0) await harness.clock.advanceAsync(10);
  await harness.clock.advanceAsync(100);
  harness.platform.release();
  await harness.clock.advanceAsync(MAX_FIRST_LOAD_MS);
  expect(harness.started.length).toEqual(SLOTS);
  expect(harness.started).toInclude('older-item');
});

// Guards against a pool that stands still while one batch cannot be loaded.
test('a batch whose load takes long holds up the items of other batches only for a short time', async () => {
  await using harness = await startTakeOver();
  while (harness.platform.heldCount === 0) await harness.clock.advanceAsync(10);
  await harness.clock.advanceAsync(MAX_FIRST_LOAD_MS + 10);
  expect(harness.started.length).toEqual(SLOTS);
});
