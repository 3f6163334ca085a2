import { test } from 'node:test';
import { expect } from 'earl';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import type { ControlCalls, WorkerOrder, WorkerOrderResult } from '../../duties/controlCalls.ts';
import { GuardedControlCalls } from '../../duties/guardedControlCalls.ts';
import type { GatewayTables } from '../../gateway/gatewayTables.ts';
import type { RegisteredWorker } from '../../gateway/workerRegistry.ts';
import { silentLogger } from '../../observability/logger.ts';
import { createMetrics } from '../../observability/metrics.ts';
import { CallBudget } from '../../platform/callBudget.ts';
import { DemandReports } from '../demandReports.ts';
import { WorkerOrdersDuty } from '../workerOrdersDuty.ts';

const tables: GatewayTables = {
  ...{ revision: 1, routes: [] },
  pools: new Map([
    [
      'p',
      {
        ...{ name: 'p', maxConnections: 10 },
        scaling: {
          ...{ minWorkers: 1, maxWorkers: 13, startMs: 4000, spotPriceFactor: 0.18 },
          zonePrices: new Map([
            ['a', 1],
            ['b', 1.1],
          ]),
        },
      },
    ],
    ['other', { name: 'other', maxConnections: 10 }],
  ]),
  requestLimits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};

const workersOf = (pool: string, count: number): RegisteredWorker[] =>
  ['a', 'b'].flatMap((availabilityZone) =>
    Array.from({ length: count }, (_, index) => ({
      ...{ id: `${pool}-${availabilityZone}-${index}`, pool, address: '127.0.0.1:1' },
      ...{ availabilityZone, slots: 6, draining: false, startedAtMs: 1, heartbeatCount: 1 },
      models: [],
    })),
  );

/** A holder of the duty whose control API answers as told. */
class DutyHarness implements Disposable {
  readonly clock = new VirtualClock();

  readonly reports = new DemandReports(this.clock);

  readonly sent: WorkerOrder[] = [];

  readonly abort = new AbortController();

  /** Answers the orders. */
  readonly api = { answer: (): Promise<WorkerOrderResult> => Promise.resolve('accepted') };

  isHolder = true;

  /** Whether the record of the duty names another node. */
  isSuperseded = false;

  readonly duty: WorkerOrdersDuty;

  /** @param workersPerZone - ordinary workers, too few for the reported demand when there is one */
  constructor(workersPerZone: number) {
    const control: ControlCalls = {
      reportUsage: () => Promise.resolve('refused'),
      orderWorkers: (order) => {
        this.sent.push(order);
        return this.api.answer();
      },
    };
    const common = { clock: this.clock, logger: silentLogger, metrics: createMetrics() };
    const credentials = { holder: 'node-1', fencing: 3 };
    const calls = new GuardedControlCalls({
      ...{ ...common, duty: 'worker-orders', calls: control, credentials },
      budget: new CallBudget(this.clock, { callsPerSecond: 50 }),
      // The duty's own check must suffice.
      isStillHolder: () => Promise.resolve(!this.isSuperseded),
      maySend: () => true,
      onFenced: () => this.abort.abort(),
    });
    this.duty = new WorkerOrdersDuty(
      {
        ...common,
        registry: {
          all: () => [...workersOf('p', workersPerZone), ...workersOf('other', 3)].values(),
        },
        tables: () => tables,
        demands: this.reports,
      },
      {
        ...{ ...credentials, calls, signal: this.abort.signal },
        mayCall: () => this.isHolder,
        verify: () => Promise.resolve(this.isHolder),
      },
    );
  }

  /** Passes time, with a report of urgent work each second. */
  async advance(seconds: number, items = 600): Promise<void> {
    for (let second = 0; second < seconds; second += 1) {
      this.report(items);
      await this.clock.advanceAsync(1000);
    }
  }

  report(items: number): void {
    this.reports.receive({
      ...{ pool: 'p', term: 1, eventGapMs: 50, tokensPerEvent: 60, slotsPerWorker: 6 },
      batches: [
        {
          ...{ batchId: 'b', model: 'm', waitingItems: items, runningItems: 0 },
          ...{ tokensLeft: items * 17 * 60, dueInMs: 7000 },
        },
      ],
    });
  }

  [Symbol.dispose](): void {
    this.duty[Symbol.dispose]();
  }
}

// Guards against orders for pools without bounds, and against calls without the holder and its term.
test('work that would be late orders workers of the pool with bounds at once', async () => {
  using harness = new DutyHarness(2);
  await harness.advance(2);
  expect(harness.sent.length > 0).toEqual(true);
  for (const order of harness.sent) {
    expect(order).toEqual({ ...order, pool: 'p', holder: 'node-1', fencing: 3 });
  }
  const ordered = harness.duty.statuses().reduce((sum, status) => sum + status.ordered, 0);
  expect(ordered > 20).toEqual(true);
  expect(harness.duty.statuses().every(({ pool }) => pool === 'p')).toEqual(true);
});

// Guards against a former holder that orders after another node has claimed the duty.
test('nothing is sent once the platform does not confirm the term', async () => {
  using harness = new DutyHarness(2);
  harness.isHolder = false;
  await harness.advance(20);
  expect(harness.sent).toEqual([]);
  const statuses = harness.duty.statuses().filter(({ spot }) => !spot);
  expect(statuses.map(({ ordered }) => ordered)).toEqual([2, 2]);
});

// Guards against a holder that calls again with a token that the control API has found outdated.
test('after a refusal because of a later term nothing more is sent', async () => {
  using harness = new DutyHarness(2);
  harness.api.answer = () => Promise.resolve('fenced');
  harness.isSuperseded = true;
  await harness.advance(1);
  const { length } = harness.sent;
  expect(length > 0).toEqual(true);
  await harness.advance(20);
  expect(harness.sent.length).toEqual(length);
});

// Guards against orders that wait as if they had been sent, after the wait of a new holder.
test('orders that were withheld are sent as soon as the term is confirmed', async () => {
  using harness = new DutyHarness(2);
  harness.isHolder = false;
  await harness.advance(15);
  harness.isHolder = true;
  await harness.advance(1);
  expect(harness.sent.length > 0).toEqual(true);
});

// Guards against repeated orders, each with a price, at a control API that is silent, and against two orders for the same
// workers that may take effect in any order.
test('a silent control API gets one order for each kind and zone while they may have no effect yet', async () => {
  using harness = new DutyHarness(1);
  harness.api.answer = () => new Promise(() => {});
  await harness.advance(2, 30);
  await harness.advance(4, 900);
  const subjects = harness.sent.map(({ availabilityZone, spot }) => `${availabilityZone}/${spot}`);
  expect(subjects.length > 0).toEqual(true);
  expect(new Set(subjects).size).toEqual(subjects.length);
});

// Guards against an error of the call that ends the process or leaves the order counted as refused.
test('a call that fails counts as an order that may take effect', async () => {
  using harness = new DutyHarness(2);
  harness.api.answer = () => Promise.reject(new Error('connection reset'));
  await harness.advance(2);
  const { length } = harness.sent;
  await harness.advance(3);
  expect(harness.sent.length).toEqual(length);
});

// Guards against ordering workers away on the last report of a dispatcher that is gone.
test('without a recent report nothing is ordered', async () => {
  using harness = new DutyHarness(12);
  await harness.advance(3, 40);
  const { length } = harness.sent;
  await harness.clock.advanceAsync(1000);
  await harness.clock.advanceAsync(60_000);
  expect(harness.sent.length).toEqual(length);
});

// Guards against the report of a dispatcher that another one has replaced.
test('a report of a former dispatcher does not replace that of its successor', () => {
  const reports = new DemandReports(new VirtualClock());
  reports.receive({ pool: 'p', term: 2, slotsPerWorker: 6 });
  reports.receive({ pool: 'p', term: 1, slotsPerWorker: 9 });
  expect(reports.find('p')?.slotsPerWorker).toEqual(6);
  expect(reports.find('q')).toEqual(undefined);
});
