import { test } from 'node:test';
import { expect } from 'earl';
import { DispatcherHarness, RESULT_DEADLINE_MS } from './dispatcherHarness.ts';

/** Time at no worker, while workers are idle, after which an accepted item counts as lost, in ms. */
const MAX_IDLE_MS = 5000;

const itemsOf = (batch: string, count: number) =>
  Array.from({ length: count }, (_, index) => `${batch}-${index}`);

const WORKERS = ['w0', 'w1', 'w2', 'w3'];

/** A batch of one item that is held because three workers ended under it, though it ends none any more. */
const holdItem = async () => {
  let isDeadly = true;
  const harness = new DispatcherHarness({
    workers: WORKERS.length,
    isDeadly: (item) => isDeadly && item === 'a-0',
    pathOf: (item) => item.slice(item.indexOf('-')),
  });
  await harness.addBatch('a', 1);
  await harness.clock.advanceAsync(6000);
  expect(harness.endedWorkers).toEqual(3);
  isDeadly = false;
  return harness;
};

// Guards against an item that is held in a later batch for ends of workers in an earlier one, while all workers are idle.
test('a held item that a later batch carries is started there in time', async () => {
  using harness = await holdItem();
  harness.dispatcher.end('a');
  await harness.addBatch('b', 4);
  expect(await harness.longestIdleMs(itemsOf('b', 4), 12_000)).toBeLessThan(MAX_IDLE_MS);
});

// Guards against the last trial of an item that is spent on a worker which refuses the connection.
test('a last trial that no worker began is repeated', async () => {
  using harness = await holdItem();
  await harness.clock.advanceAsync(RESULT_DEADLINE_MS - 6000 - 50);
  harness.endWorkers(WORKERS, 200);
  await harness.clock.advanceAsync(5000);
  expect([...harness.finished]).toEqual(['a-0']);
});

// Guards against an item without a last trial, because the clock of the dispatcher differs from that of the node that
// accepted its batch.
test('a held item is tried again whatever the wall clock of the dispatcher says', async () => {
  for (const shiftMs of [RESULT_DEADLINE_MS, -60_000]) {
    let isDeadly = true;
    using harness = new DispatcherHarness({ workers: 4, isDeadly: () => isDeadly });
    await harness.addBatch('a', 1);
    harness.clock.shiftWallClock(shiftMs);
    await harness.clock.advanceAsync(6000);
    isDeadly = false;
    await harness.clock.advanceAsync(6000);
    expect([...harness.finished]).toEqual(['a-0']);
  }
});

// Guards against a batch without a due time that is held until it ends.
test('a batch without a due time is tried again after two failed trials', async () => {
  let isDeadly = true;
  using harness = new DispatcherHarness({ workers: 4, isDeadly: () => isDeadly });
  await harness.addBatch('a', 4, 0);
  await harness.clock.advanceAsync(6000);
  isDeadly = false;
  await harness.clock.advanceAsync(60_000);
  expect(harness.finished.size).toEqual(4);
});

// Guards against a batch that is held because workers were lost again during its two trials.
test('a batch goes on after its workers were lost three times', async () => {
  using harness = new DispatcherHarness({ workers: 4 });
  await harness.addBatch('a', 4);
  for (const atMs of [100, 700, 4800]) {
    harness.clock.schedule(atMs, () => harness.endWorkers(WORKERS, 500));
  }
  expect(await harness.longestIdleMs(itemsOf('a', 4), 12_000)).toBeLessThan(MAX_IDLE_MS);
});

// Guards against trials that fail by chance because the first event of a run comes after 600 ms.
test('a batch with slow first events goes on after its workers were lost twice', async () => {
  using harness = new DispatcherHarness({ workers: 4, firstEventMs: 600, eventGapMs: 100 });
  await harness.addBatch('a', 4);
  for (const atMs of [100, 1100]) {
    harness.clock.schedule(atMs, () => harness.endWorkers(WORKERS, 500));
  }
  expect(await harness.longestIdleMs(itemsOf('a', 4), 12_000)).toBeLessThan(MAX_IDLE_MS);
});

/** A batch of 88 items whose workers are all lost once, 150 ms after its start. */
const loseWorkersOnce = async () => {
  const harness = new DispatcherHarness({ workers: 4, slots: 24 });
  await harness.addBatch('a', 88);
  await harness.clock.advanceAsync(150);
  harness.endWorkers(WORKERS, 500);
  return harness;
};

// Guards against items that start one after the other on each worker, 250 ms apart, because all of them are suspected.
test('the items of a large batch start again soon after their workers were lost once', async () => {
  using harness = await loseWorkersOnce();
  const idleMs = await harness.longestIdleMs(itemsOf('a', 88), 12_000, 0.5);
  expect(idleMs).toBeLessThan(MAX_IDLE_MS);
});

// Guards against a false fault of the placement in the log, while suspected items wait for each other.
test('suspected items that wait for each other are not reported as not placed', async () => {
  using harness = await loseWorkersOnce();
  await harness.clock.advanceAsync(12_000);
  const reasons = new Set(harness.logged.get('items-held')?.map(({ reason }) => reason));
  expect(reasons.has('not-placed')).toEqual(false);
});

// Guards against a metric that shows held items at a node that has handed over the pool.
test('a dispatcher that has handed over reports no held items', async () => {
  using harness = await holdItem();
  await harness.clock.advanceAsync(1000);
  harness.dispatcher[Symbol.dispose]();
  const { values } = await harness.metrics.itemsHeld.get();
  expect(values.map(({ value }) => value)).toEqual(values.map(() => 0));
});

// Guards against items of one lost worker that start again one after the other, a second apart, though they had run for longer
// than a trial takes to clear them.
test('items that had run for two seconds start again soon on the only other worker', async () => {
  using harness = new DispatcherHarness({ workers: 2, slots: 24, eventsOf: () => 800 });
  await harness.addBatch('a', 22);
  await harness.clock.advanceAsync(2000);
  harness.endWorkers(['w0'], 30_000);
  expect(await harness.longestIdleMs(itemsOf('a', 22), 12_000)).toBeLessThan(1000);
});

// Guards against a batch that is held for seconds because the worker of its only trial was lost by chance, soon after all others.
test('items start again soon though the worker of the first trial after a loss of all workers is lost too', async () => {
  using harness = new DispatcherHarness({ workers: 6, slots: 24 });
  await harness.addBatch('a', 60, 7500);
  await harness.clock.advanceAsync(700);
  harness.endWorkers(['w0', 'w1', 'w2', 'w3', 'w4', 'w5'], 500);
  await harness.clock.advanceAsync(700);
  harness.endWorkers(['w0'], 500);
  await harness.clock.advanceAsync(500);
  const idleMs = await harness.longestIdleMs(itemsOf('a', 60), 12_000, 0.5);
  expect(idleMs).toBeLessThan(MAX_IDLE_MS);
});
