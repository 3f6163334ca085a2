import { test } from 'node:test';
import { expect } from 'earl';
import { BatchNodeHarness, RETENTION_MS, UNROUTED_POOL } from './batchNodeHarness.ts';

// Guards against leaving an accepted batch for good: its route moved to another pool, and then every node restarted
// (review/1: 32 of 60 items reached no worker any more).
test('a node that starts after the route moved runs the batches accepted before', async () => {
  await using harness = new BatchNodeHarness();
  await harness.addBatch('b', UNROUTED_POOL);
  harness.start();
  await harness.clock.advanceAsync(4000);
  expect(harness.started).toEqual(['b-item']);
});

// Guards against the same for a batch that a node with older tables accepts while the route moves.
test('a batch accepted under the former tables runs, although its pool has lost its last route', async () => {
  await using harness = new BatchNodeHarness();
  harness.start();
  await harness.clock.advanceAsync(4000);
  await harness.addBatch('b', UNROUTED_POOL);
  await harness.clock.advanceAsync(2000);
  expect(harness.started).toEqual(['b-item']);
});

// Guards against the same when the tables have no batch route left, so that this node dispatches no other pool.
test('a node that starts after the last batch route was removed runs the batches accepted before', async () => {
  await using harness = new BatchNodeHarness([]);
  await harness.addBatch('b', UNROUTED_POOL);
  harness.platform.outage = true;
  harness.start();
  await harness.clock.advanceAsync(1000);
  harness.platform.outage = false;
  await harness.clock.advanceAsync(4000);
  expect(harness.started).toEqual(['b-item']);
});

// Guards against objects that stay at the platform for good: nobody removes the ended batches of a pool without a route.
test('an ended batch of a pool without a route is removed after its retention', async () => {
  await using harness = new BatchNodeHarness();
  await harness.endBatch(await harness.addBatch('b', UNROUTED_POOL));
  harness.start();
  await harness.clock.advanceAsync(RETENTION_MS + 40_000);
  expect([...harness.platform.objects.keys()].filter((key) => key.startsWith('batch'))).toEqual([]);
  expect(harness.started).toEqual([]);
});
