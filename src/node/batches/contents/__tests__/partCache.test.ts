import { test } from 'node:test';
import { expect } from 'earl';
import { BODY_BYTES, ContentsHarness } from './contentsHarness.ts';

const NORMAL = { kind: 'normal' } as const;

// Guards against a call to the platform for each body that trainers read of a small batch.
test('a part that was read is kept while there is room', async () => {
  const harness = new ContentsHarness(10 * BODY_BYTES);
  const record = await harness.store('b', 2);
  for (let reads = 0; reads < 5; reads += 1) await harness.parts.read(record, 0, NORMAL);
  expect(harness.reads.length).toEqual(1);
});

// Guards against caches that grow beyond the memory of the node, each within a limit of its own.
test('the parts that were used longest ago give way', async () => {
  const harness = new ContentsHarness(2.5 * BODY_BYTES);
  const record = await harness.store('b', 4);
  for (const part of [0, 1, 0, 2]) {
    await harness.parts.read(record, part, NORMAL);
    expect(harness.usedBytes <= harness.roomBytes).toEqual(true);
  }
  harness.reads.length = 0;
  await harness.parts.read(record, 0, NORMAL);
  expect(harness.reads).toEqual([]);
  harness.roomBytes = 0;
  harness.memory.trim();
  expect(harness.usedBytes).toEqual(0);
});

// Guards against a body that is counted twice, at the node that accepted it and at the dispatcher on the same node.
test('a part that is taken is no longer kept', async () => {
  const harness = new ContentsHarness(10 * BODY_BYTES);
  const record = await harness.store('b', 1);
  await harness.parts.read(record, 0, NORMAL);
  const { bodies } = await harness.parts.take(record, 0, NORMAL);
  expect(bodies.size).toEqual(1);
  expect([harness.parts.cachedBytes, harness.reads.length]).toEqual([0, 1]);
});

// Guards against a batch that runs with the items of a submission that was refused.
test('the parts of a batch that is not stored are discarded', async () => {
  const harness = new ContentsHarness(10 * BODY_BYTES);
  const record = await harness.store('b', 2);
  for (const part of [0, 1]) await harness.parts.read(record, part, NORMAL);
  harness.parts.discard(record);
  expect(harness.usedBytes).toEqual(0);
});
