import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import type { HeldBody } from '../itemBodies.ts';
import { BODY_BYTES, ContentsHarness } from './contentsHarness.ts';

const ITEMS = 8;

// Guards against bodies of finished items and ended batches that stay in memory (review/14).
test('the memory of a body is returned when its item needs it no more', async () => {
  const harness = new ContentsHarness(Infinity);
  await harness.load(await harness.store('b', ITEMS));
  expect(harness.usedBytes).toEqual(ITEMS * BODY_BYTES);
  harness.bodies.drop('b', 'b-0');
  expect(harness.usedBytes).toEqual((ITEMS - 1) * BODY_BYTES);
  harness.bodies.dropBatch('b');
  expect(harness.usedBytes).toEqual(0);
});

// Guards against a batch that is larger than the memory and whose items can therefore not run.
test('bodies for which there is no room are read when they are needed', async () => {
  const harness = new ContentsHarness(2 * BODY_BYTES);
  await harness.load(await harness.store('b', ITEMS));
  expect(harness.usedBytes).toEqual(2 * BODY_BYTES);
  harness.reads.length = 0;
  for (let item = 0; item < ITEMS; item += 1) {
    const held = await harness.bodies.acquire('b', `b-${item}`);
    expect(held.request.bytes.every((byte) => byte === item)).toEqual(true);
    expect(harness.usedBytes <= 2 * BODY_BYTES).toEqual(true);
    held[Symbol.dispose]();
    harness.bodies.drop('b', `b-${item}`);
  }
  expect(harness.reads.length).toEqual(ITEMS - 2);
  expect(harness.usedBytes).toEqual(0);
});

// Guards against runs that start at the same moment and take more memory than there is.
test('bodies that are needed at the same time wait for each other', async () => {
  const harness = new ContentsHarness(2 * BODY_BYTES);
  await harness.load(await harness.store('b', ITEMS));
  const held: HeldBody[] = [];
  for (let item = 0; item < ITEMS; item += 1) {
    void harness.bodies.acquire('b', `b-${item}`).then((body) => held.push(body));
  }
  for (let served = 0; served < ITEMS; served += 1) {
    await harness.clock.advanceAsync(200);
    expect(harness.usedBytes <= 2 * BODY_BYTES).toEqual(true);
    expect(held.length > 0).toEqual(true);
    held.shift()?.[Symbol.dispose]();
  }
  expect(held).toEqual([]);
});

// Guards against a run that waits for the body of an item that was finished elsewhere or whose batch has ended.
test('the wait for a body ends with its item', async () => {
  const harness = new ContentsHarness(BODY_BYTES);
  await harness.load(await harness.store('b', 3));
  const held = await harness.bodies.acquire('b', 'b-0');
  const outcomes: string[] = [];
  const record = (error: Error) => outcomes.push(error.name);
  harness.bodies.acquire('b', 'b-1').catch(record);
  const abort = new AbortController();
  harness.bodies.acquire('b', 'b-2', abort.signal).catch(record);
  harness.bodies.drop('b', 'b-1');
  abort.abort();
  await harness.clock.advanceAsync(200);
  expect(outcomes).toEqual(['BodyGoneError', 'BodyGoneError']);
  held[Symbol.dispose]();
  expect(harness.memory.neededBytes).toEqual(0);
});

// Guards against counts that drift from the bodies in memory, and against a caller that is never served.
test('every caller is served and all memory is returned in random orders', async () => {
  const step = fc.record({
    item: fc.nat({ max: ITEMS - 1 }),
    heldMs: fc.nat({ max: 300 }),
    pauseMs: fc.nat({ max: 60 }),
  });
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, { maxLength: 30 }),
      fc.integer({ min: 1, max: 4 }),
      async (steps, room) => {
        const harness = new ContentsHarness(room * BODY_BYTES);
        await harness.load(await harness.store('b', ITEMS));
        const served: number[] = [];
        for (const { item, heldMs, pauseMs } of steps) {
          void harness.bodies.acquire('b', `b-${item}`).then((held) => {
            served.push(item);
            expect(held.request.bytes[0]).toEqual(item);
            harness.clock.schedule(heldMs, () => held[Symbol.dispose]());
          });
          await harness.clock.advanceAsync(pauseMs);
          expect(harness.memory.neededBytes <= room * BODY_BYTES).toEqual(true);
        }
        await harness.clock.advanceAsync(400 * (steps.length + 1));
        expect(served.length).toEqual(steps.length);
        expect(harness.memory.neededBytes).toEqual(0);
        harness.bodies[Symbol.dispose]();
        expect(harness.usedBytes).toEqual(0);
      },
    ),
    { seed: 20261207, numRuns: 60 },
  );
});
