import { test } from 'node:test';
import { expect } from 'earl';
import { type Random, seededRandom } from '../../../../shared/random.ts';
import { type AdmittedRequest, PoolAdmission, type Refusal } from '../poolAdmission.ts';
import type { PoolOccupancy } from '../poolRoom.ts';
import { createFairQueueing, createFirstComeFirstServed } from '../shareRules.ts';
import { type AdmissionRequest, compareWaiting, type WaitingRequest } from '../waitingRequest.ts';

const poolOf = (loads: readonly number[], inFlight = 0): PoolOccupancy => ({
  workers: loads.map((load) => ({ slots: 6, load })),
  inFlight,
});

const FULL = poolOf([30, 30], 60);

const requestOf = (changes: Partial<AdmissionRequest> = {}): AdmissionRequest => ({
  ...{ route: 'route', account: 'a', priority: 5, isUrgent: false, isScoring: false },
  ...{ deadlineMs: 10_000, targetMs: 10_000, workMs: 50 },
  ...changes,
});

const createAdmission = (changes = {}) =>
  new PoolAdmission({ random: seededRandom(1), shares: createFairQueueing(), ...changes });

/** An admission whose node has one request in progress, so that a full pool takes no further one. */
const createBusyAdmission = (changes = {}) => {
  const admission = createAdmission(changes);
  const first = admission.offer(requestOf({ account: 'first' }), FULL, 0);
  if (first.kind !== 'admitted') throw new Error('the first request of a node is always admitted');
  return { admission, first: first.admitted };
};

const refusalOf = (decision: { readonly kind: string }): Refusal => {
  expect(decision.kind).toEqual('refused');
  return decision as Refusal;
};

/** Accounts in the order in which one place after the other becomes free. */
const drain = (admission: PoolAdmission, nowMs: number): string[] => {
  const order: string[] = [];
  while (admission.waiting.size > 0) {
    const progress = admission.advance(poolOf([5, 30], 30 + admission.inProgress), nowMs);
    order.push(...progress.admitted.map(([{ request }]) => `${request.route}/${request.account}`));
    if (progress.admitted.length === 0) break;
  }
  return order;
};

// Guards against a queue that delays or reorders requests of a calm pool.
test('while the pool has room, each request is sent at once', () => {
  const admission = createAdmission();
  for (let count = 0; count < 12; count += 1) {
    const decision = admission.offer(requestOf(), poolOf([count / 2, count / 2], count), count);
    expect(decision.kind).toEqual('admitted');
  }
  const pool = poolOf([6, 6], 12);
  expect(admission.offer(requestOf(), pool, 12).kind).toEqual('waiting');
  expect(admission.offer(requestOf({ isUrgent: true, priority: 0 }), pool, 13).kind).toEqual(
    'admitted',
  );
});

// Guards against more requests than slots when several are admitted before the first has reached a worker.
test('admitted requests count before they are in flight at a worker', () => {
  const admission = createAdmission();
  const kinds = Array.from({ length: 7 }, () => admission.offer(requestOf(), poolOf([0]), 0).kind);
  expect(kinds).toEqual([...Array.from({ length: 6 }, () => 'admitted' as const), 'waiting']);
  expect(admission.advance(poolOf([0]), 1).admitted.length).toEqual(0);
});

// Guards against callers who wait for a pool that has no workers.
test('a pool without workers refuses at once, also what waits', () => {
  const { admission } = createBusyAdmission();
  expect(refusalOf(admission.offer(requestOf(), poolOf([]), 1)).reason).toEqual('no-worker');
  expect(admission.offer(requestOf(), FULL, 2).kind).toEqual('waiting');
  const { refused } = admission.advance(poolOf([]), 3);
  expect(refused.map(([, { reason }]) => reason)).toEqual(['no-worker']);
  expect(admission.waiting.size).toEqual(0);
});

// Guards against holding back what cannot be served in its time.
test('a request that cannot be complete within its budget is refused at once', () => {
  const { admission } = createBusyAdmission();
  const decision = admission.offer(requestOf({ deadlineMs: 40, workMs: 50 }), FULL, 0);
  expect(refusalOf(decision).reason).toEqual('over-budget');
  expect(admission.offer(requestOf({ deadlineMs: 200 }), FULL, 0).kind).toEqual('waiting');
  expect(admission.advance(FULL, 160).refused.map(([, { reason }]) => reason)).toEqual([
    'over-budget',
  ]);
});

// Guards against an order other than priority, target latency, share, earlier refusal.
test('places go by priority, then by target, then by share, then to returning callers', () => {
  const { admission } = createBusyAdmission();
  const refused = admission.offer(requestOf({ account: 'c', deadlineMs: 10 }), FULL, 0);
  const returnMs = refusalOf(refused).retryAfterMs;
  const at = { deadlineMs: 60_000, targetMs: 60_000 };
  const offer = (changes: Partial<AdmissionRequest>) =>
    expect(admission.offer(requestOf({ ...at, ...changes }), FULL, returnMs).kind).toEqual(
      'waiting',
    );
  offer({ route: 'late', account: 'b', targetMs: 0 });
  offer({ route: 'new', account: 'c2' });
  offer({ route: 'less', priority: 7, account: 'd' });
  offer({ route: 'urgent', priority: 1, account: 'e' });
  offer({ route: 'route', account: 'c' });
  // Of the same account and route, only the first after the refusal counts as returning; it came last.
  expect([...admission.waiting].map(({ isReturning }) => isReturning)).toEqual([
    false,
    false,
    false,
    false,
    true,
  ]);
  expect(drain(admission, returnMs)).toEqual([
    ...['urgent/e', 'route/c', 'new/c2', 'late/b', 'less/d'],
  ]);
});

// Guards against an account that keeps the small ones waiting.
test('with one account flooding, each other account is served next', () => {
  const { admission } = createBusyAdmission();
  for (let count = 0; count < 50; count += 1) {
    admission.offer(requestOf({ account: 'big' }), FULL, 1);
  }
  for (let small = 0; small < 5; small += 1) {
    admission.offer(requestOf({ account: `small-${small}` }), FULL, 2);
  }
  const order = drain(admission, 3);
  const last = Math.max(...[0, 1, 2, 3, 4].map((small) => order.indexOf(`route/small-${small}`)));
  expect(last <= 6).toEqual(true);
});

// Guards against a finished text whose score waits for other work of the pool.
test('a scoring call has a place when the pool is full of other work', () => {
  const { admission } = createBusyAdmission();
  const pool = poolOf([6, 6], 12);
  expect(admission.offer(requestOf(), pool, 1).kind).toEqual('waiting');
  const scoring = requestOf({ isScoring: true, priority: 8 });
  expect(admission.offer(scoring, pool, 2).kind).toEqual('waiting');
  const [[next] = []] = admission.advance(pool, 3).admitted;
  expect(next?.request.isScoring).toEqual(true);
  expect(admission.offer(scoring, pool, 4).kind).toEqual('waiting');
  expect(admission.advance(pool, 5).admitted.length).toEqual(0);
});

// Guards against a queue without a bound, or one that a less urgent request keeps an urgent one out of.
test('at the bound the least urgent waiting request is evicted', () => {
  const { admission } = createBusyAdmission({ maxWaiting: 3 });
  for (const priority of [5, 6, 7]) admission.offer(requestOf({ priority }), FULL, 1);
  const less = admission.offer(requestOf({ priority: 8 }), FULL, 1);
  expect(refusalOf(less).reason).toEqual('queue-full');
  expect(admission.offer(requestOf({ priority: 1 }), FULL, 1).kind).toEqual('waiting');
  const { refused } = admission.advance(FULL, 2);
  expect(refused.map(([{ request }, { reason }]) => [request.priority, reason])).toEqual([
    [7, 'evicted'],
  ]);
});

const randomRequest = (random: Random, nowMs: number): AdmissionRequest => {
  const priority = Math.floor(random() * 3);
  return requestOf({
    ...{ account: `a${Math.floor(random() ** 3 * 6)}`, priority, isUrgent: priority === 0 },
    ...{ isScoring: random() < 0.2, workMs: 20 + 100 * random() },
    ...{ deadlineMs: nowMs + 50 + 2000 * random(), targetMs: nowMs + 300 * random() },
  });
};

// Guards against requests that are lost, decided twice, held past their time, or overtaken by less urgent ones.
for (const [name, createShares] of [
  ['first come first served', createFirstComeFirstServed],
  ['fair queueing', createFairQueueing],
] as const) {
  test(`random load keeps the invariants of admission (${name}, seeds 1 to 12)`, () => {
    for (let seed = 1; seed <= 12; seed += 1) {
      const random = seededRandom(seed);
      const shares = createShares();
      const maxWaiting = 20;
      const admission = new PoolAdmission({ random, shares, maxWaiting });
      const running = new Map<AdmittedRequest, number>();
      const pending = new Set<WaitingRequest>();
      let nowMs = 0;
      let others = 0;
      const pool = () => {
        const half = running.size / 2;
        return poolOf([half + others, half], running.size);
      };
      const start = (admitted: AdmittedRequest) =>
        running.set(admitted, nowMs + admitted.request.workMs * (1 + 5 * random()));
      for (let step = 0; step < 400; step += 1) {
        nowMs += 12 * random();
        if (random() < 0.05) others = Math.floor(random() * 8);
        for (const [admitted, endMs] of running) {
          if (endMs <= nowMs && running.delete(admitted)) admission.release(admitted, nowMs);
        }
        const request = randomRequest(random, nowMs);
        const before = pool();
        const free = before.workers.reduce((sum, { load }) => sum + Math.max(0, 6 - load), 0);
        const decision = admission.offer(request, before, nowMs);
        if (decision.kind === 'admitted') start(decision.admitted);
        else if (decision.kind === 'waiting') pending.add(decision.waiting);
        else {
          expect(free >= 1 && pending.size === 0).toEqual(false);
          expect(decision.retryAfterMs >= 75 && decision.retryAfterMs <= 6250).toEqual(true);
        }
        const atAdvance = pool();
        const { admitted, refused } = admission.advance(atAdvance, nowMs);
        for (const [waiting, entry] of admitted) {
          expect(pending.delete(waiting)).toEqual(true);
          start(entry);
        }
        for (const [waiting] of refused) expect(pending.delete(waiting)).toEqual(true);
        const lastPlain = admitted.findLast(
          ([
            {
              request: { isScoring },
            },
          ]) => !isScoring,
        )?.[0];
        for (const waiting of pending) {
          // What was sent was never less urgent than what still waits, except for the places of scoring calls.
          if (lastPlain !== undefined && waiting.request.isUrgent >= lastPlain.request.isUrgent) {
            expect(waiting.request.priority >= lastPlain.request.priority).toEqual(true);
          }
          expect(nowMs <= waiting.request.deadlineMs + 25).toEqual(true);
        }
        expect(new Set(admission.waiting)).toEqual(pending);
        expect(admission.waiting.size <= maxWaiting).toEqual(true);
        expect(admission.inProgress).toEqual(running.size);
        if (pending.size > 1) {
          const [a, b] = [...pending];
          if (a !== undefined && b !== undefined) {
            const forth = compareWaiting(a, b, nowMs, shares);
            expect(Math.sign(forth)).toEqual(-Math.sign(compareWaiting(b, a, nowMs, shares)));
          }
        }
      }
    }
  });
}
