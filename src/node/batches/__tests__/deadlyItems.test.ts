import { test } from 'node:test';
import { expect } from 'earl';
import { DispatcherHarness, type DispatcherHarnessOptions } from './dispatcherHarness.ts';

const FOR_MS = 12_000;

/** Number of workers that end while a dispatcher with six workers runs a batch for 12 s. */
const countEnds = async (
  itemCount: number,
  options: Omit<DispatcherHarnessOptions, 'workers'>,
  silent?: string,
): Promise<number> => {
  using harness = new DispatcherHarness({ workers: 6, ...options });
  if (silent !== undefined) harness.silence(silent, true);
  await harness.addBatch('a', itemCount);
  await harness.clock.advanceAsync(FOR_MS);
  return harness.endedWorkers;
};

const LATE = { deadlyAfterMs: 300, eventsOf: () => 200 };

// Guards against a batch that ends workers all the time because each item generates for 300 ms first (e53f36f: 6 ends).
test('a batch whose items end workers after 300 ms ends few of them', async () => {
  expect(await countEnds(88, { ...LATE, isDeadly: () => true })).toBeLessThan(13);
});

// Guards against one item that ends a worker in each run and generates a part of its text before (e53f36f: 3 ends).
test('an item that ends workers after 300 ms ends few of them', async () => {
  expect(await countEnds(8, { ...LATE, isDeadly: (id) => id === 'a-0' })).toBeLessThan(6);
});

// Guards against a silent worker that clears the batch while its items end the other workers (e53f36f: 6 ends).
test('a batch whose items end workers ends few of them while another worker is silent', async () => {
  expect(await countEnds(88, { isDeadly: () => true }, 'w0')).toBeLessThan(13);
});

// Guards against a batch that is cleared by trials without an event, which end their workers later (e53f36f: 6 ends).
test('a batch whose items end workers after a second without events ends few of them', async () => {
  const late = { deadlyAfterMs: 1100, firstEventMs: 1500, eventGapMs: 150 };
  expect(await countEnds(88, { ...late, isDeadly: () => true })).toBeLessThan(13);
});

// Guards against a second trial of a batch while the worker of the first one is being probed.
test('a batch starts no trial while the worker of another one is probed', async () => {
  const fast = await countEnds(40, { isDeadly: () => true });
  expect(await countEnds(40, { isDeadly: () => true, probeMs: 140 })).toEqual(fast);
});

// Guards against a sound item that is held because the trial of a deadly one started beside it before its first event.
test('a trial starts on no worker with a run that has no event yet', async () => {
  using harness = new DispatcherHarness({
    ...{ workers: 6, firstEventMs: 600, eventGapMs: 100 },
    isDeadly: (item) => item === 'a-0',
  });
  await harness.addBatch('a', 40);
  await harness.clock.advanceAsync(FOR_MS);
  const condemned = (harness.logged.get('worker-ended-under-request') ?? []).filter(
    ({ verdict }) => verdict === 'condemned',
  );
  expect([...new Set(condemned.map(({ request }) => request))]).toEqual(['a-0']);
});
