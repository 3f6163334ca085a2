import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import { BatchItemSchema, BatchRecordSchema } from '../../../gen/hyssoppulley/v1/batch_pb.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import type { EnginePool } from '../../gateway/gatewayTables.ts';
import type { RegisteredWorker } from '../../gateway/workerRegistry.ts';
import { silentLogger } from '../../observability/logger.ts';
import { WeightLoads } from '../../weights/weightLoads.ts';
import { BatchState } from '../batchState.ts';
import type { ResultLog } from '../resultLog.ts';
import { WeightRefresher } from '../weightRefresher.ts';

const workerOf = (id: string): RegisteredWorker => ({
  ...{ id, pool: 'p', address: '127.0.0.1:1', availabilityZone: 'z', slots: 8 },
  ...{ draining: false, startedAtMs: 1, heartbeatCount: 1, models: [{ name: 'm', version: 1 }] },
});

const batchOf = (id: string, model: string, itemCount: number): BatchState => {
  const record = create(BatchRecordSchema, { id, pool: 'p', model, minVersion: 2 });
  const items = Array.from({ length: itemCount }, (_, index) =>
    create(BatchItemSchema, { id: `${id}-${index}`, group: 'g', expectedOutputTokens: 100 }),
  );
  return new BatchState(record, items, { results: [] } as unknown as ResultLog);
};

/** A refresher of workers that hold version 1 of each model, and the orders that it has given, as `WORKER/MODEL`. */
const start = (workerCount: number, models: readonly string[]) => {
  const clock = new VirtualClock();
  const workers = Array.from({ length: workerCount }, (_, index) => ({
    ...workerOf(`w${index}`),
    models: models.map((name) => ({ name, version: 1 })),
  }));
  const ordered = new Set<string>();
  const weights = new WeightLoads({
    ...{ clock, logger: silentLogger, holder: 'n', fencing: 1 },
    calls: {
      order: ({ id }, { model }) => {
        ordered.add(`${id}/${model}`);
        return Promise.resolve('accepted');
      },
      report: () =>
        Promise.resolve({ busy: false, orders: 0, startedAtMs: 1, versions: new Map() }),
    },
    ...{ verifyHolder: () => Promise.resolve(true), maySendOrders: () => true },
    ...{ onFenced() {}, onChange() {}, onLoad() {} },
  });
  for (const worker of workers) weights.register(worker);
  const usable = new Set(workers);
  const refresher = new WeightRefresher({
    ...{ clock, weights, newestVersion: () => 2 },
    engine: () => ({ slots: 8, models }) as unknown as EnginePool,
    workers: {
      forAssignment: () => [...usable].map(({ id }) => ({ id, capacity: 1, runningOf: () => 0 })),
    },
  });
  const refresh = async (open: readonly BatchState[], elapsedMs: number): Promise<void> => {
    refresher.refresh([...usable], open, []);
    await clock.advanceAsync(elapsedMs);
  };
  return { refresher, usable, ordered, refresh };
};

/** Numbers of workers that have been ordered to load for a batch that needs newer weights, after 1 s and 1.5 s. */
const loadsOf = async (workerCount: number): Promise<readonly number[]> => {
  const { ordered, refresh } = start(workerCount, ['m']);
  const batch = batchOf('b', 'm', 8 * workerCount);
  const counts = [];
  for (const elapsedMs of [1000, 500]) {
    await refresh([batch], elapsedMs);
    counts.push(ordered.size);
  }
  return counts;
};

// Guards against items that wait for weights beside idle workers because a pool that has lost workers loads them one after the
// other (tvf-quotes, day trouble-3: with four of six workers left, items of two steps were at no worker for 2 s to 3 s).
test('a pool of four workers whose weights are too old loads them two at a time', async () => {
  expect(await loadsOf(4)).toEqual([2, 4]);
});

// Guards against a pool without a worker that serves, as all of them load.
test('a pool of two workers loads one after the other', async () => {
  expect(await loadsOf(2)).toEqual([1, 2]);
});

// Guards against a step that no worker can run although one is idle: the last worker loads versions of another model only, whose
// trainer has finished (review/12).
test('the last worker loads the version that items wait for, whatever model it was assigned to', async () => {
  const { refresher, usable, ordered, refresh } = start(2, ['large', 'small']);
  const [large, small] = [batchOf('a', 'large', 48), batchOf('b', 'small', 24)];
  refresher.recordBatch(large);
  refresher.recordBatch(small);
  await refresh([large, small], 1000);
  await refresh([large, small], 1000);
  const [ofLarge] = [...usable].filter(({ id }) => ordered.has(`${id}/large`));
  for (const worker of usable) if (worker !== ofLarge) usable.delete(worker);
  large.end();
  ordered.clear();
  for (let count = 0; count < 10; count += 1) await refresh([small], 500);
  expect([...ordered]).toEqual([`${ofLarge?.id}/small`]);
});

// Guards against a model that is left without a version while others are loaded again and again.
test('fewer workers than models load the versions of all models', async () => {
  const models = ['a', 'b', 'c'];
  const { ordered, refresh } = start(2, models);
  const open = models.map((model) => batchOf(model, model, 8));
  for (let count = 0; count < 20; count += 1) await refresh(open, 500);
  expect(models.filter((model) => [...ordered].some((key) => key.endsWith(`/${model}`)))).toEqual(
    models,
  );
});
