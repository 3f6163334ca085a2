import { test } from 'node:test';
import { expect } from 'earl';
import { create } from '@bufbuild/protobuf';
import { BatchItemSchema } from '../../../gen/hyssoppulley/v1/batch_pb.ts';
import type { BatchSubmission } from '../batchAcceptor.ts';
import { encodeItems, itemsKey } from '../batchObjects.ts';
import { BATCH_ROUTE, BatchNodeHarness } from './batchNodeHarness.ts';
import { DispatcherHarness } from './dispatcherHarness.ts';

const ITEMS = 12;
const BODY_BYTES = 50_000;

/** Time in which the items of a batch finish and their results are stored, in ms. */
const RUN_MS = 10_000;

const start = (options: { readonly roomBytes?: number } = {}) =>
  new DispatcherHarness({ workers: 2, bodyBytes: BODY_BYTES, ...options });

// Guards against a dispatcher that keeps the bodies of items that have run until their batch is removed (review/14).
test('a batch whose trainer does not end it keeps no bodies and no items once it is complete', async () => {
  using harness = start();
  for (const id of ['a', 'b', 'c']) await harness.addBatch(id, ITEMS);
  expect(harness.memory.cachedBytes >= 3 * ITEMS * BODY_BYTES).toEqual(true);
  await harness.clock.advanceAsync(RUN_MS);
  expect(harness.finished.size).toEqual(3 * ITEMS);
  expect(harness.memory.neededBytes).toEqual(0);
  expect(harness.memory.cachedBytes < BODY_BYTES).toEqual(true);
  const read = await harness.dispatcher.read('a', 0, 0);
  expect([read?.total, read?.results.length]).toEqual([ITEMS, ITEMS]);
});

// Guards against the same for a batch that its trainer gives up.
test('a batch that is ended while it runs keeps no bodies and no items', async () => {
  using harness = start();
  await harness.addBatch('a', ITEMS);
  await harness.clock.advanceAsync(200);
  harness.dispatcher.end('a');
  await harness.clock.advanceAsync(100);
  expect(harness.memory.neededBytes).toEqual(0);
  expect(harness.memory.cachedBytes < BODY_BYTES).toEqual(true);
});

// Guards against accepted items that never run because the bodies of their batches do not fit into the memory.
test('batches that are many times larger than the memory run to their end', async () => {
  const roomBytes = 4 * BODY_BYTES;
  using harness = start({ roomBytes });
  const ids = ['a', 'b', 'c', 'd'];
  for (const id of ids) await harness.addBatch(id, ITEMS);
  for (let passedMs = 0; passedMs < 4 * RUN_MS; passedMs += 50) {
    await harness.clock.advanceAsync(50);
    expect(harness.memory.cachedBytes <= roomBytes).toEqual(true);
  }
  expect(harness.finished.size).toEqual(ids.length * ITEMS);
  expect(harness.wrongBodies).toEqual([]);
});

// Guards against items that are left because several dispatchers in a row found no room for their bodies.
test('the items of large batches run after several take-overs', async () => {
  using harness = start({ roomBytes: 4 * BODY_BYTES });
  for (const id of ['a', 'b']) await harness.addBatch(id, ITEMS);
  for (let takeOvers = 0; takeOvers < 4; takeOvers += 1) {
    await harness.clock.advanceAsync(150);
    await harness.takeOver(true);
  }
  await harness.clock.advanceAsync(2 * RUN_MS);
  expect(harness.finished.size).toEqual(2 * ITEMS);
  expect(harness.wrongBodies).toEqual([]);
});

// Guards against results that cannot be read any more because the dispatcher has given up their memory.
test('results that the dispatcher no longer holds are read from the platform', async () => {
  using harness = start();
  await harness.addBatch('a', ITEMS);
  await harness.clock.advanceAsync(RUN_MS);
  harness.memory.makeRoom(Infinity);
  expect(harness.memory.cachedBytes).toEqual(0);
  expect(await harness.dispatcher.read('a', 0, 0)).toEqual(undefined);
  expect(harness.dispatcher.has('a')).toEqual(true);
});

const submissionOf = (itemId: string, body = new Uint8Array()): BatchSubmission => ({
  ...{ id: 'b', host: 'h', path: '/b/b', model: 'm', account: '' },
  ...{ step: 0, minVersion: 0, wantedGroups: 0 },
  items: [create(BatchItemSchema, { id: itemId, path: '/x', group: 'g', body })],
});

// Guards against a node that runs other items than those that are stored under the id of the batch, as the next dispatcher would.
test('items that an earlier attempt has stored are the ones that run', async () => {
  await using harness = new BatchNodeHarness();
  harness.start();
  await harness.clock.advanceAsync(2000);
  const stored = submissionOf('stored');
  await harness.platform.write(itemsKey(stored, 0), encodeItems(stored.items));
  const result = harness.batches.submit(submissionOf('repeated'), BATCH_ROUTE);
  await harness.clock.advanceAsync(1000);
  expect((await result).kind).toEqual('accepted');
  expect(harness.started).toEqual(['stored']);
});

// Guards against a submission that is refused for good because an item is larger than an object of the platform.
test('an item that is larger than an object is accepted, run and read at any node', async () => {
  await using harness = new BatchNodeHarness();
  harness.start();
  await harness.clock.advanceAsync(2000);
  const body = Uint8Array.from({ length: 250_000 }, (_, index) => (7 * index) % 256);
  const result = harness.batches.submit(submissionOf('large', body.slice()), BATCH_ROUTE);
  await harness.clock.advanceAsync(2000);
  expect((await result).kind).toEqual('accepted');
  expect(harness.started).toEqual(['large']);
  await using other = new BatchNodeHarness(undefined, { platform: harness.platform });
  for (const { batches } of [harness, other]) {
    const read = await batches.readItem('b', 'large', undefined);
    expect(read.kind === 'found' && read.body.bytes.equals(body)).toEqual(true);
  }
});

// Guards against the same for an item that cannot be stored at all: each attempt was answered 503 after its time limit.
test('a submission whose items can never be stored is refused as invalid at once', async () => {
  await using harness = new BatchNodeHarness();
  const submission = submissionOf('large');
  const [item] = submission.items;
  if (item !== undefined) item.path = `/${'x'.repeat(150_000)}`;
  expect((await harness.batches.submit(submission, BATCH_ROUTE)).kind).toEqual('invalid');
});
