import { test } from 'node:test';
import { expect } from 'earl';
import { DispatcherHarness } from './dispatcherHarness.ts';

// Guards against items that are held for seconds without a trace in the log or the metrics.
test('items that are at no worker while workers are idle are reported with the reason', async () => {
  using harness = new DispatcherHarness({ workers: 2, isDeadly: (item) => item === 'a-0' });
  await harness.addBatch('a', 1);
  await harness.clock.advanceAsync(6000);
  const [first] = harness.logged.get('items-held') ?? [];
  expect(first).toEqual({
    ...{ batch: 'a', pool: 'p', reason: 'item-condemned', items: 1, item: 'a-0' },
    ...{ oldestMs: first?.oldestMs, usableWorkers: 2, avoidedWorker: first?.avoidedWorker },
    events: 0,
  });
});
