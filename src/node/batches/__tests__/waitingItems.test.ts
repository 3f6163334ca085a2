import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import fc from 'fast-check';
import { BatchItemSchema, BatchRecordSchema } from '../../../gen/hyssoppulley/v1/batch_pb.ts';
import { BatchState } from '../batchState.ts';
import type { ItemState } from '../itemState.ts';
import type { ResultLog } from '../resultLog.ts';
import { DispatcherHarness } from './dispatcherHarness.ts';

const ITEMS = 30;

const batchOf = (lengths: readonly number[]): BatchState =>
  new BatchState(
    create(BatchRecordSchema, { id: 'b', itemCount: lengths.length }),
    lengths.map((expectedOutputTokens, index) =>
      create(BatchItemSchema, { id: `i${index}`, group: `g${index}`, expectedOutputTokens }),
    ),
    { results: [], isFlushed: false } as unknown as ResultLog,
  );

const change = (batch: BatchState, state: ItemState, kind: string): void => {
  if (kind === 'start' && state.phase === 'waiting') state.start();
  else if (kind === 'requeue' && state.phase === 'running') state.requeue('w');
  else if (kind === 'finish' && !state.closed) batch.finish(state);
  else if (kind === 'restore') {
    const progress = {
      events: ['a'],
      eventVersions: [1],
      whole: false,
      textId: '',
      failedAttempts: 0,
    };
    state.restoreProgress(progress);
  }
};

// Guards against items that are forgotten, or placed while they run, because they are no longer looked for among all of the batch.
test('the waiting items are those that wait, and the candidates the longest of those that have not begun', () => {
  const step = fc.tuple(
    fc.nat({ max: ITEMS - 1 }),
    fc.constantFrom('start', 'requeue', 'finish', 'restore'),
  );
  fc.assert(
    fc.property(
      fc.array(fc.nat({ max: 5 }), { minLength: ITEMS, maxLength: ITEMS }),
      fc.array(step, { maxLength: 80 }),
      fc.nat({ max: 8 }),
      (lengths, steps, count) => {
        const batch = batchOf(lengths);
        const begun = new Set<string>();
        for (const [index, kind] of steps) {
          const state = batch.items.get(`i${index}`);
          if (state === undefined) continue;
          const begins = kind === 'start' || kind === 'restore';
          if (begins && state.phase === 'waiting') begun.add(state.item.id);
          change(batch, state, kind);
        }
        const waiting = [...batch.items.values()].filter(({ phase }) => phase === 'waiting');
        expect(batch.waiting.size).toEqual(waiting.length);
        expect(new Set(batch.waiting.all())).toEqual(new Set(waiting));
        const candidates = batch.waiting.candidates(count);
        const expected = [
          ...waiting.filter(({ item }) => begun.has(item.id)),
          ...waiting
            .filter(({ item }) => !begun.has(item.id))
            .sort((a, b) => b.item.expectedOutputTokens - a.item.expectedOutputTokens)
            .slice(0, count),
        ];
        expect(new Set(candidates)).toEqual(new Set(expected));
      },
    ),
    { seed: 20261207, numRuns: 500 },
  );
});

// Guards against a dispatcher that walks over all items of all open batches at each placement, so that the workers idle beside tens
// of thousands of waiting items (review/13).
test('the work of a placement does not grow with the number of waiting items', async () => {
  const verdictsOf = async (items: number): Promise<number> => {
    using harness = new DispatcherHarness({ workers: 4, eventsOf: () => 4 });
    await harness.addBatch('b', items, 600_000);
    await harness.clock.advanceAsync(1000);
    expect(harness.finished.size > 100).toEqual(true);
    return harness.verdictCount / harness.finished.size;
  };
  expect((await verdictsOf(3000)) <= 2 * (await verdictsOf(500))).toEqual(true);
});
