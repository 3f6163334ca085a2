import { test } from 'node:test';
import { expect } from 'earl';
import { BatchNodeHarness, POOL } from './batchNodeHarness.ts';

// Guards against running a batch that ended while its items were being read: the connection of that read was dead, so
// it took until the retry (review/5: 24 items of an ended batch ran later than 3 s after its end).
test('a batch that ends while its items are being read does not run', async () => {
  await using harness = new BatchNodeHarness();
  harness.start();
  await harness.clock.advanceAsync(2000);
  harness.platform.hold('batch-items/');
  const batch = await harness.addBatch('b');
  await harness.clock.advanceAsync(300);
  await harness.endBatch(batch);
  await harness.clock.advanceAsync(300);
  harness.platform.release();
  await harness.addBatch('next');
  await harness.clock.advanceAsync(1000);
  expect(harness.started).toEqual(['next-item']);
});

// Guards against the same during a take-over, in which the result log of the batch is read and fenced.
test('a batch that ends while its result log is being taken over does not run', async () => {
  await using harness = new BatchNodeHarness();
  await harness.addFormerDispatcher();
  const batch = await harness.addBatch('b');
  harness.platform.hold('batch-log-b/');
  harness.start();
  await harness.clock.advanceAsync(2000);
  await harness.endBatch(batch);
  await harness.clock.advanceAsync(300);
  harness.platform.release();
  await harness.clock.advanceAsync(1000);
  expect(harness.started).toEqual([]);
});

// Guards against running a batch whose record was removed while it was being loaded.
test('a batch that is removed while its items are being read does not run', async () => {
  await using harness = new BatchNodeHarness();
  harness.start();
  await harness.clock.advanceAsync(2000);
  harness.platform.hold('batch-items/');
  const batch = await harness.addBatch('b');
  await harness.clock.advanceAsync(300);
  await harness.removeBatch(batch);
  harness.platform.release();
  await harness.clock.advanceAsync(1000);
  expect(harness.started).toEqual([]);
});

const CALLS_PER_SECOND = 60;

/** Batches that are open at a take-over, and the objects in which the items of each are stored. */
const OPEN_BATCHES = 4;
const PARTS = 48;

/** The reads of all parts at the budget of the node, and as much again for its other calls. */
const LOAD_MS = (2 * OPEN_BATCHES * PARTS * 1000) / CALLS_PER_SECOND;

const startWithLargeBatches = async (): Promise<BatchNodeHarness> => {
  const harness = new BatchNodeHarness(undefined, { callsPerSecond: CALLS_PER_SECOND });
  await harness.addFormerDispatcher();
  for (let number = 0; number < OPEN_BATCHES; number += 1) {
    await harness.addBatch(`b${number}`, POOL, PARTS, PARTS);
    await harness.clock.advanceAsync(100);
  }
  harness.start();
  return harness;
};

const loadedBatches = ({ batches }: BatchNodeHarness): string[] =>
  batches.coordinators().flatMap(({ dispatcher }) => {
    const ids = Array.from({ length: OPEN_BATCHES }, (_, number) => `b${number}`);
    return ids.filter((id) => dispatcher?.has(id));
  });

// Guards against batches of many parts whose reads use up each other's calls, so that none is ever complete (review/11).
test('a new dispatcher loads several batches of many parts within its call budget', async () => {
  await using harness = await startWithLargeBatches();
  await harness.clock.advanceAsync(LOAD_MS);
  expect(loadedBatches(harness)).toEqual(['b0', 'b1', 'b2', 'b3']);
});

// Guards against reads of all open batches side by side, so that the first one is complete as late as the last.
test('the batch that was submitted first is loaded first', async () => {
  await using harness = await startWithLargeBatches();
  const loaded: string[][] = [];
  for (let passedMs = 0; passedMs < LOAD_MS; passedMs += 50) {
    await harness.clock.advanceAsync(50);
    loaded.push(loadedBatches(harness));
  }
  const counts = [...new Set(loaded.map((ids) => ids.join()))];
  expect(counts.slice(-OPEN_BATCHES)).toEqual(['b0', 'b0,b1', 'b0,b1,b2', 'b0,b1,b2,b3']);
});

// Guards against a dispatcher that gives up its pool while it reads what it has taken over.
test('a dispatcher that reads batches of many parts can still verify that it holds its pool', async () => {
  await using harness = await startWithLargeBatches();
  const [coordinator] = harness.batches.coordinators();
  await harness.clock.advanceAsync(1000);
  const verified: boolean[] = [];
  for (let count = 1; count <= 10; count += 1) {
    void coordinator?.election.confirm().then((isHeld) => verified.push(isHeld));
    await harness.clock.advanceAsync(50);
    expect(verified.length).toEqual(count);
    await harness.clock.advanceAsync(450);
  }
  expect(verified.every(Boolean)).toEqual(true);
});
