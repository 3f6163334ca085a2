import { test } from 'node:test';
import { expect } from 'earl';
import { sleep } from '../../../shared/clock.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { silentLogger } from '../../observability/logger.ts';
import { createMetrics } from '../../observability/metrics.ts';
import { PoisonGuard } from '../poisonGuard.ts';

/** Time between the ends of two workers that are lost together, in ms. */
const GAP_MS = 5;

/**
 * Ends some workers of a pool during a trial on each. Returns for each end whether it counts as part of a common loss.
 *
 * @param probeMs - time that a probe of a worker takes, by its index @default none
 */
const loseWorkers = async (
  poolSize: number,
  lostCount: number,
  probeMs: (index: number) => number = () => 0,
): Promise<boolean[]> => {
  const clock = new VirtualClock();
  const workers = Array.from({ length: poolSize }, (_, index) => ({
    ...{ id: `w${index}`, address: `w${index}`, pool: 'p', availabilityZone: 'z' },
    startedAtMs: 1,
  }));
  const ended = new Set<string>();
  const guard = new PoisonGuard({
    ...{ clock, logger: silentLogger, metrics: createMetrics(), workersOf: () => workers },
    hasEnded: async (address) => {
      const tookMs = probeMs(Number(address.slice(1)));
      if (tookMs > 0) await sleep(clock, tookMs);
      return ended.has(address);
    },
  });
  const startedMs = clock.monotonicMs();
  const verdicts: Promise<boolean>[] = [];
  for (const worker of workers.slice(0, lostCount)) {
    await clock.advanceAsync(GAP_MS);
    ended.add(worker.address);
    const { id } = worker;
    const request = { id, method: 'POST', host: 'h', path: `/${id}`, body: Buffer.alloc(0) };
    const attempt = { request, worker, pool: 'p', trial: true, startedMs, others: 0 };
    verdicts.push(
      guard.recordBroken(attempt).then(() => guard.isCommonLoss('p', worker, startedMs)),
    );
  }
  await clock.advanceAsync(500);
  return Promise.all(verdicts);
};

// Guards against a failed trial that is held against a request because its worker was the first one found of those that were
// lost together: the pool was counted without the workers found before, so only the later ones had lost half of it.
for (const [poolSize, lostCount] of [
  [4, 2],
  [6, 3],
  [8, 4],
] as const) {
  test(`${lostCount} of ${poolSize} workers are a common loss for each of them`, async () => {
    const verdicts = await loseWorkers(poolSize, lostCount);
    expect(verdicts).toEqual(Array.from({ length: lostCount }, () => true));
  });
}

// Guards against workers that are lost together and judged one by one, because a busy machine finds their ends at different times.
test('workers that are lost together are a common loss though their probes take different times', async () => {
  const verdicts = await loseWorkers(4, 4, (index) => 40 * (index + 1) - 35);
  expect(verdicts).toEqual([true, true, true, true]);
});

test('less than half of a pool is a common loss for none of its workers', async () => {
  expect(await loseWorkers(6, 2)).toEqual([false, false]);
  expect(await loseWorkers(8, 3)).toEqual([false, false, false]);
});
