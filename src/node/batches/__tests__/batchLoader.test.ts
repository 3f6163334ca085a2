import { test } from 'node:test';
import { expect } from 'earl';
import { BatchNodeHarness } from './batchNodeHarness.ts';

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
