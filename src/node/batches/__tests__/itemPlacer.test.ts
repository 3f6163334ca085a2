import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import { BatchItemSchema, BatchRecordSchema } from '../../../gen/hyssoppulley/v1/batch_pb.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { byContention } from '../../decisions/items/stepOrder.ts';
import type { RegisteredWorker } from '../../gateway/workerRegistry.ts';
import { silentLogger } from '../../observability/logger.ts';
import { createMetrics } from '../../observability/metrics.ts';
import { BatchState } from '../batchState.ts';
import { ItemPlacer } from '../itemPlacer.ts';
import type { ItemState } from '../itemState.ts';
import type { ResultLog } from '../resultLog.ts';

/** Two groups of two items; those of the first are twice as long, and the trainer waits for one group. */
const batchOf = (id: string, submittedAtMs: number) =>
  new BatchState(
    create(BatchRecordSchema, {
      ...{ id, model: 'm', wantedGroups: 1, resultDeadlineMs: 7500 },
      submittedAtMs: BigInt(submittedAtMs),
    }),
    ['long1', 'long2', 'short1', 'short2'].map((name) =>
      create(BatchItemSchema, {
        ...{ id: name, group: name.slice(0, -1) },
        expectedOutputTokens: name.startsWith('long') ? 1600 : 800,
      }),
    ),
    { results: [] } as unknown as ResultLog,
  );

/** Keys of the items that start on one worker with the given number of slots. */
const startedWith = (slots: number, ageMs = 0) => {
  const clock = new VirtualClock();
  const batch = batchOf('b', clock.nowMs() - ageMs);
  const worker = { id: 'w', slots } as RegisteredWorker;
  const started: string[] = [];
  const placer = new ItemPlacer({
    ...{ clock, pool: 'p', logger: silentLogger, metrics: createMetrics(), order: byContention },
    engine: () => ({ slots, cacheTokens: 1, tokensPerEvent: 60, models: ['m'] }),
    workers: {
      eventGapMs: 50,
      forPlacement: () => [
        {
          ...{ id: 'w', freeSlots: slots, running: 0, slowdown: 1 },
          ...{ versionOf: () => 1, hasProcessedPrompt: () => true },
        },
      ],
      limitedWithFreeSlots: () => [],
    },
    permits: { ask: () => Promise.resolve() },
    suspected: { suspicionOf: () => undefined, trialsAt: () => ({}) },
    textRestarts: { restartHeldTexts: () => {} },
    viewGuard: { mayStartRuns: () => true },
    schedule: () => {},
    startRun: ({ item }) => started.push(item.id),
  });
  const waiting = new Map<string, ItemState>(batch.items);
  placer.place([batch], waiting, [], [worker]);
  return started;
};

// Guards against slots for a group that the trainer does not wait for while the one it needs is due.
test('where the work contends for slots the needed group starts first', () => {
  expect(startedWith(2, 6500)).toEqual(['short1', 'short2']);
});

// Guards against another order than longest first where there is time for all items.
test('without contention the longest items start first', () => {
  expect(startedWith(3)).toEqual(['long1', 'long2', 'short1']);
  expect(startedWith(4, 6500)).toEqual(['long1', 'long2', 'short1', 'short2']);
});
