import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { seededRandom } from '../../../shared/random.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { Admission, AdmissionError, type AdmissionSlot } from '../admission.ts';

const setUp = (capacity: number, maxQueued: number, maxConcurrent = 1000) => {
  const clock = new VirtualClock();
  const limits = { capacity, maxQueued };
  let largestQueue = 0;
  const admission = new Admission({
    clock,
    random: seededRandom(1),
    limitsOf: () => limits,
    maxConcurrent,
    onChange: (_, { queued }) => {
      largestQueue = Math.max(largestQueue, queued.caller + queued.training);
    },
  });
  return { clock, limits, admission, largestQueue: () => largestQueue };
};

const settle = () =>
  new Promise<void>((resolve) => {
    setImmediate(resolve);
  });

const request = (priority: 'caller' | 'training', maxWaitMs = 1000) => ({
  pool: 'p',
  priority,
  maxWaitMs,
});

const codeOf = (error: unknown) => (error instanceof AdmissionError ? error.code : String(error));

// Guards against exceeded bounds, leaked slots and callers queued behind training, for any order of events. Invariants
// in the code check the bounds and the precedence of callers; the counts at the end of each run show leaked slots.
test('random sequences of events exceed no bound and leak no slot', async () => {
  const step = fc.record({
    kind: fc.constantFrom('caller', 'training', 'return', 'advance', 'resize', 'abort'),
    value: fc.nat(400),
  });
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, { maxLength: 120 }),
      fc.integer({ min: 0, max: 12 }),
      fc.integer({ min: 0, max: 6 }),
      async (steps, capacity, maxQueued) => {
        const { clock, limits, admission, largestQueue } = setUp(capacity, maxQueued, 14);
        const slots: AdmissionSlot[] = [];
        const aborts: AbortController[] = [];
        const faults: unknown[] = [];
        for (const { kind, value } of steps) {
          if (kind === 'caller' || kind === 'training') {
            const abort = new AbortController();
            aborts.push(abort);
            admission.admit({ ...request(kind, value), signal: abort.signal }).then(
              (slot) => slots.push(slot),
              (error: unknown) => error instanceof AdmissionError || faults.push(error),
            );
          } else if (kind === 'return') slots.shift()?.[Symbol.dispose]();
          else if (kind === 'advance') clock.advance(value);
          else if (kind === 'abort') aborts[value]?.abort();
          else {
            limits.capacity = value % 13;
            admission.assignFreeSlots('p');
          }
          await settle();
        }
        clock.advance(1000);
        await settle();
        while (slots.length > 0) {
          slots.pop()?.[Symbol.dispose]();
          await settle();
        }
        expect(faults).toEqual([]);
        expect(admission.total).toEqual(0);
        expect(admission.counts('p')).toEqual({
          inProgress: 0,
          queued: { caller: 0, training: 0 },
        });
        expect(largestQueue() <= maxQueued).toEqual(true);
      },
    ),
    { seed: 20_260_101, numRuns: 200 },
  );
});

// Guards against a caller that waits behind training requests.
test('a queued caller gets a slot before training requests that were queued earlier', async () => {
  const { admission } = setUp(1, 10);
  const order: string[] = [];
  const first = await admission.admit(request('caller'));
  const enter = async (priority: 'caller' | 'training') => {
    const slot = await admission.admit(request(priority));
    order.push(priority);
    slot[Symbol.dispose]();
  };
  const all = [enter('training'), enter('training'), enter('caller')];
  first[Symbol.dispose]();
  await Promise.all(all);
  expect(order).toEqual(['caller', 'training', 'training']);
});

// Guards against callers being refused because training requests fill the queue.
test('a caller evicts a queued training request when the queue is full', async () => {
  const { admission } = setUp(1, 1);
  const first = await admission.admit(request('caller'));
  const training = admission.admit(request('training')).catch(codeOf);
  const caller = admission.admit(request('caller'));
  expect(await training).toEqual('overloaded');
  first[Symbol.dispose]();
  expect(admission.counts('p').inProgress).toEqual(1);
  (await caller)[Symbol.dispose]();
});

// Guards against requests that are queued only to time out. With an offered load of three times the capacity, the wait
// estimate must refuse most of the excess immediately.
test('a load of three times the capacity is refused early and the queue stays short', async () => {
  const { clock, admission, largestQueue } = setUp(10, 100);
  const holdMs = 100;
  const results = { served: 0, refusedAtOnce: 0, refusedLate: 0 };
  for (let tick = 0; tick < 2000; tick += 1) {
    // The capacity of 10 slots held for 100 ms serves 1 request per tick of 10 ms; 3 are offered.
    for (let offered = 0; offered < 3; offered += 1) {
      const startMs = clock.monotonicMs();
      admission.admit(request('caller', 200)).then(
        (slot) => {
          results.served += 1;
          clock.schedule(holdMs, () => slot[Symbol.dispose]());
        },
        () => {
          if (clock.monotonicMs() - startMs < 10) results.refusedAtOnce += 1;
          else results.refusedLate += 1;
        },
      );
    }
    await clock.advanceAsync(10);
  }
  expect(results.served >= 1950).toEqual(true);
  expect(results.refusedLate <= 200).toEqual(true);
  expect(results.refusedAtOnce >= 3700).toEqual(true);
  expect(largestQueue() <= 25).toEqual(true);
});

// Guards against one caller that takes the capacity of the whole pool.
test('a caller over its limit is refused while another caller is admitted', async () => {
  const { clock, admission } = setUp(100, 10);
  const limit = { maxConcurrent: 2, maxRequestsPerSecond: 3 };
  const admit = (key: string) => admission.admit({ ...request('caller'), caller: { key, limit } });
  const slots = [await admit('a'), await admit('a')];
  expect(await admit('a').catch(codeOf)).toEqual('caller-concurrency-limit');
  slots.push(await admit('b'));
  slots[0]?.[Symbol.dispose]();
  slots.push(await admit('a'));
  slots[1]?.[Symbol.dispose]();
  expect(await admit('a').catch(codeOf)).toEqual('caller-rate-limit');
  clock.advance(400);
  slots.push(await admit('a'));
  for (const slot of slots) slot[Symbol.dispose]();
});
