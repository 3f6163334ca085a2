import { test } from 'node:test';
import { expect } from 'earl';
import {
  BatchNodeHarness,
  RETENTION_MS,
  UNREAD_RETENTION_MS,
} from '../../__tests__/batchNodeHarness.ts';

/** Interval between sweeps, and time for the calls of one, in ms. */
const SWEEP_MS = 40_000;

const READ_INTERVAL_MS = 30_000;

const startWithBatch = async (): Promise<BatchNodeHarness> => {
  const harness = new BatchNodeHarness();
  await harness.addBatch('b');
  harness.start();
  await harness.clock.advanceAsync(4000);
  return harness;
};

const storedKeys = ({ platform }: BatchNodeHarness) =>
  [...platform.objects.keys()].filter((key) => key.startsWith('batch'));

const kindOfRead = async ({ batches }: BatchNodeHarness) => {
  const [results, item] = [await batches.read('b', 0, 0, ''), batches.readItem('b', 'b-item', '')];
  return [results.kind, (await item).kind];
};

// Guards against results and items of an open batch that are lost for its age (review/8: 404 after twice the retention).
test('an open batch that its trainer reads is kept for hours', async () => {
  await using harness = await startWithBatch();
  for (let passedMs = 0; passedMs < 3 * UNREAD_RETENTION_MS; passedMs += READ_INTERVAL_MS) {
    await harness.clock.advanceAsync(READ_INTERVAL_MS);
    expect(await kindOfRead(harness)).toEqual(['found', 'found']);
  }
});

// Guards against the same when its trainer is silent for longer than any result is kept.
test('an open batch outlives twice the retention of results without a read', async () => {
  await using harness = await startWithBatch();
  await harness.clock.advanceAsync(2 * RETENTION_MS + SWEEP_MS);
  expect(await kindOfRead(harness)).toEqual(['found', 'found']);
});

// Guards against a store that keeps what crashed trainers leave behind, and a trainer that does not learn why its batch is gone.
test('an open batch that nobody reads is abandoned, and its trainer is told', async () => {
  await using harness = await startWithBatch();
  await harness.clock.advanceAsync(UNREAD_RETENTION_MS + 2 * SWEEP_MS);
  expect(await kindOfRead(harness)).toEqual(['abandoned', 'abandoned']);
  expect(storedKeys(harness)).toEqual(['batches/b']);
  expect(await harness.batches.end('b', '')).toEqual('ended');
});

// Guards against a batch that is not abandoned, or whose content stays, because the platform did not respond.
test('an outage of the platform delays the removal of an abandoned batch', async () => {
  await using harness = await startWithBatch();
  await harness.clock.advanceAsync(UNREAD_RETENTION_MS - SWEEP_MS);
  harness.platform.outage = true;
  await harness.clock.advanceAsync(4 * SWEEP_MS);
  harness.platform.outage = false;
  await harness.clock.advanceAsync(2 * SWEEP_MS);
  expect(storedKeys(harness)).toEqual(['batches/b']);
});

// Guards against results that are removed early because a dispatcher's wall clock is ahead of that of the accepting node.
test('an ended batch is kept for its retention after its end was seen', async () => {
  await using harness = new BatchNodeHarness();
  const record = await harness.addBatch('b');
  const longAgoMs = BigInt(Math.round(harness.clock.nowMs() - 10 * RETENTION_MS));
  await harness.endBatch({ ...record, submittedAtMs: longAgoMs });
  harness.start();
  await harness.clock.advanceAsync(RETENTION_MS - SWEEP_MS);
  expect(storedKeys(harness).length > 0).toEqual(true);
  await harness.clock.advanceAsync(3 * SWEEP_MS);
  expect(storedKeys(harness)).toEqual([]);
});

// Guards against items that stay in the store for good: their removal failed, and the record that names them was removed.
test('the record of an ended batch stays until all of its content is removed', async () => {
  await using harness = new BatchNodeHarness();
  const record = await harness.addBatch('b', undefined, 6, 3);
  await harness.endBatch(record);
  harness.platform.refuseRemovals(2);
  harness.start();
  await harness.clock.advanceAsync(RETENTION_MS + 5 * SWEEP_MS);
  expect(storedKeys(harness)).toEqual([]);
});
