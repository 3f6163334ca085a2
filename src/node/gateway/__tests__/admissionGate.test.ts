import { test } from 'node:test';
import { expect } from 'earl';
import { Stopwatch } from '../../../shared/clock.ts';
import { seededRandom } from '../../../shared/random.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import type { Logger } from '../../observability/logger.ts';
import { createMetrics } from '../../observability/metrics.ts';
import type { PoolOccupancy } from '../../decisions/sharing/poolRoom.ts';
import { AdmissionGate, type Place } from '../admissionGate.ts';
import type { GatewayRoute } from '../gatewayTables.ts';
import { withPlace } from '../withPlace.ts';

const ROUTE: GatewayRoute = {
  ...{ name: 'route', host: 'host', pathPrefix: '/', kind: 'idempotent', priority: 3 },
  ...{ pools: [{ pool: 'pool', weight: 1 }], timeoutMs: 2000, targetLatencyMs: 150 },
  ...{ maxAttempts: 3, resumable: false },
};

const createGate = () => {
  const clock = new VirtualClock(0);
  const metrics = createMetrics();
  const lines: string[] = [];
  const log = (event: string, fields?: Readonly<Record<string, unknown>>) =>
    lines.push(`${event} ${String(fields?.reason ?? '')}`.trim());
  const logger: Logger = {
    ...{ error: log, warn: log, info: log, debug: log, drained: () => Promise.resolve() },
  };
  const pool = { load: 0, inFlight: 0, reports: true, engine: false };
  const occupancy = (): PoolOccupancy | undefined =>
    pool.reports
      ? { workers: [{ slots: 2, load: pool.load }], inFlight: pool.inFlight }
      : undefined;
  const gate = new AdmissionGate({
    ...{ clock, metrics, logger, random: seededRandom(1), isMostUrgent: () => false },
    loadBalancer: { occupancyOf: occupancy, workMs: () => 50 },
    isShared: () => !pool.engine,
  });
  const placeOf = (account = 'a', budgetMs = 2000, signal = new AbortController().signal) => ({
    ...{ route: ROUTE, pool: 'pool', signal },
    request: {
      ...{ id: 'r', method: 'GET', path: '/', host: 'host', headers: [], body: Buffer.alloc(0) },
      ...{ account: { name: account }, sinceArrival: new Stopwatch(clock), budgetMs },
    },
  });
  const queued = async () => {
    const { values } = await metrics.queued.get();
    return values.reduce((sum, { value }) => sum + value, 0);
  };
  return { clock, gate, lines, pool, placeOf, queued };
};

/** A gate whose pool is full, with one request of the node in progress. */
const createFullGate = async () => {
  const created = createGate();
  const first = await created.gate.admit(created.placeOf('first'));
  Object.assign(created.pool, { load: 2, inFlight: 1 });
  return { ...created, first: first as Place };
};

// Guards against a queue that changes how a calm pool, an engine, or a pool without load reports is served.
test('a request has its place at once while the pool has room, is an engine, or reports no load', async () => {
  const { gate, lines, placeOf, pool } = createGate();
  expect((await gate.admit(placeOf())).kind).toEqual('admitted');
  Object.assign(pool, { load: 9, inFlight: 1 });
  pool.engine = true;
  expect((await gate.admit(placeOf())).kind).toEqual('admitted');
  Object.assign(pool, { engine: false, reports: false });
  expect((await gate.admit(placeOf())).kind).toEqual('admitted');
  expect(lines).toEqual([]);
});

// Guards against a request that waits for another answer although a place is free.
test('a waiting request gets the place that another one leaves', async () => {
  const { gate, lines, placeOf, pool, first, queued } = await createFullGate();
  const next = gate.admit(placeOf());
  expect(await queued()).toEqual(1);
  expect(gate.accountsWaiting()).toEqual([{ account: 'a', waiting: 1, refused: 0 }]);
  Object.assign(pool, { load: 1, inFlight: 0 });
  first[Symbol.dispose]();
  expect((await next).kind).toEqual('admitted');
  expect(await queued()).toEqual(0);
  expect(lines).toEqual(['request-admitted']);
});

// Guards against a queue that stands still where no answer arrives at this node.
test('a waiting request gets a place when the load reported by others has ended', async () => {
  const { clock, gate, placeOf, pool } = await createFullGate();
  const next = gate.admit(placeOf());
  pool.load = 1;
  await clock.advanceAsync(30);
  expect((await next).kind).toEqual('admitted');
});

// Guards against places of callers who have left, and against waits beyond the budget.
test('a caller who leaves, or whose time is used up, waits no longer', async () => {
  const { clock, gate, lines, placeOf, queued } = await createFullGate();
  const caller = new AbortController();
  const left = gate.admit(placeOf('left', 2000, caller.signal));
  const late = gate.admit(placeOf('late', 200));
  caller.abort();
  expect((await left).kind).toEqual('refused');
  await clock.advanceAsync(200);
  expect((await late).kind).toEqual('refused');
  expect(await queued()).toEqual(0);
  expect(lines).toEqual([
    'request-refused-by-admission left',
    'request-refused-by-admission over-budget',
  ]);
  expect(gate.accountsWaiting()).toEqual([
    { account: 'left', waiting: 0, refused: 1 },
    { account: 'late', waiting: 0, refused: 1 },
  ]);
});

// Guards against a 503 for a request that has run, and against places that are never given back.
test('a refused request is never run, and a place is given back after a failure', async () => {
  const { gate, placeOf, pool } = await createFullGate();
  let runs = 0;
  const run = () => {
    runs += 1;
    return Promise.reject(new Error('failed'));
  };
  const refused = await withPlace(gate, placeOf('a', 10), run);
  expect(refused.kind).toEqual('not-run');
  expect(runs).toEqual(0);
  Object.assign(pool, { load: 0, inFlight: 0 });
  await expect(withPlace(gate, placeOf(), run)).toBeRejectedWith('failed');
  expect(runs).toEqual(1);
  expect((await gate.admit(placeOf())).kind).toEqual('admitted');
});

// Guards against a refusal by the workers without a time after which the caller may return.
test('a request that the workers refuse gets the time of the queue', async () => {
  const { gate, placeOf } = createGate();
  const outcome = await withPlace(gate, placeOf(), () =>
    Promise.resolve({ kind: 'not-run', reason: 'full' } as const),
  );
  const retryAfterMs = 'retryAfterMs' in outcome ? outcome.retryAfterMs : undefined;
  expect(retryAfterMs !== undefined && retryAfterMs >= 75).toEqual(true);
});
