import { test } from 'node:test';
import { expect } from 'earl';
import { CallersHarness } from './callersHarness.ts';

const WORKERS = Array.from({ length: 8 }, (_, index) => `w${index}`);

// Guards against a request of many callers that ends workers without end (e53f36f: 8 ends in a minute).
test('a deadly request of many callers ends few workers in a minute', async () => {
  const harness = new CallersHarness({ nodes: 6, workers: 8, workMs: 600, isDeadly: () => true });
  for (let count = 0; count < 1200; count += 1) {
    harness.clock.schedule(50 * count, () => void harness.send(count % 6, '/deadly'));
  }
  await harness.clock.advanceAsync(60_000);
  expect(harness.endedWorkers).toBeLessThan(17);
});

// Guards against a deadly request that is cleared because a worker gave it up at a caller's time budget before it was deadly.
test('a deadly request ends few workers though some of its callers have little time', async () => {
  const harness = new CallersHarness({ nodes: 6, workers: 8, workMs: 600, isDeadly: () => true });
  for (let count = 0; count < 1200; count += 1) {
    const budgetMs = count % 2 === 0 ? 5000 : 300;
    harness.clock.schedule(50 * count, () => void harness.send(count % 6, '/deadly', budgetMs));
  }
  await harness.clock.advanceAsync(60_000);
  expect(harness.endedWorkers).toBeLessThan(17);
});

// Guards against a sound request that is refused for up to a minute, because all workers were lost three times by chance.
test('a request of many callers is answered soon after its workers are back', async () => {
  const harness = new CallersHarness({ nodes: 6, workers: 8, workMs: 600, downMs: 800 });
  for (const atMs of [5000, 6200, 12_500]) {
    harness.clock.schedule(atMs, () => harness.endWorkers(WORKERS));
  }
  const failedMs: number[] = [];
  for (let count = 0; count < 300; count += 1) {
    harness.clock.schedule(100 * count, async () => {
      const outcome = await harness.send(count % 6, '/sound', 3000);
      if (outcome === undefined || !('statusCode' in outcome)) failedMs.push(100 * count);
    });
  }
  await harness.clock.advanceAsync(36_000);
  expect(Math.max(...failedMs)).toBeLessThan(20_000);
});

// Guards against sound requests that wait for each other's trials (answered within 1.6 s if no end is held against them).
test('requests that lost their workers are answered soon after these are back', async () => {
  const harness = new CallersHarness({ nodes: 1, workers: 4, workMs: 1000, downMs: 300 });
  const tookMs: number[] = [];
  const call = async (path: string): Promise<void> => {
    const sentMs = harness.clock.monotonicMs();
    for (;;) {
      const outcome = await harness.send(0, path);
      if (outcome !== undefined && 'statusCode' in outcome) break;
      await new Promise<void>((resolve) => {
        harness.clock.schedule(300, resolve);
      });
    }
    tookMs.push(harness.clock.monotonicMs() - sentMs);
  };
  for (let index = 0; index < 40; index += 1) void call(`/x${index}`);
  await harness.clock.advanceAsync(200);
  harness.endWorkers(WORKERS);
  await harness.clock.advanceAsync(20_000);
  expect(tookMs.length).toEqual(40);
  expect(Math.max(...tookMs)).toBeLessThan(3000);
});
