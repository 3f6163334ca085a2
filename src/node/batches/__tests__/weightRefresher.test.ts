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

/** Numbers of workers that have been ordered to load for a batch that needs newer weights, after 1 s and 1.5 s. */
const loadsOf = async (workerCount: number): Promise<readonly number[]> => {
  const clock = new VirtualClock();
  const workers = Array.from({ length: workerCount }, (_, index) => workerOf(`w${index}`));
  const ordered = new Set<string>();
  const weights = new WeightLoads({
    ...{ clock, logger: silentLogger, holder: 'n', fencing: 1 },
    calls: {
      order: ({ id }) => {
        ordered.add(id);
        return Promise.resolve('accepted');
      },
      report: () =>
        Promise.resolve({ busy: false, orders: 0, startedAtMs: 1, versions: new Map() }),
    },
    ...{ verifyHolder: () => Promise.resolve(true), maySendOrders: () => true },
    ...{ onFenced() {}, onChange() {}, onLoad() {} },
  });
  for (const worker of workers) weights.register(worker);
  const refresher = new WeightRefresher({
    ...{ clock, weights, newestVersion: () => 2 },
    engine: () => ({ slots: 8, models: ['m'] }) as unknown as EnginePool,
    workers: {
      forAssignment: () => workers.map(({ id }) => ({ id, capacity: 1, runningOf: () => 0 })),
    },
  });
  const record = create(BatchRecordSchema, { id: 'b', pool: 'p', model: 'm', minVersion: 2 });
  const items = Array.from({ length: 8 * workerCount }, (_, index) =>
    create(BatchItemSchema, { id: `i${index}`, group: 'g' }),
  );
  const batch = new BatchState(record, items, { results: [] } as unknown as ResultLog);
  const counts = [];
  for (const elapsedMs of [1000, 500]) {
    refresher.refresh(workers, [batch], []);
    await clock.advanceAsync(elapsedMs);
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
