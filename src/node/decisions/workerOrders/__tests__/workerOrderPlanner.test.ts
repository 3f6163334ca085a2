import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import type { ScalingBounds } from '../../../gateway/gatewayTables.ts';
import type { OrderedWorker } from '../orderedWorkers.ts';
import type { PoolDemand } from '../poolDemand.ts';
import { type WorkerOrder, WorkerOrderPlanner } from '../workerOrderPlanner.ts';
import { spotWithReserve } from '../workerTargets.ts';

const bounds: ScalingBounds = {
  ...{ minWorkers: 1, maxWorkers: 13, startMs: 4000, spotPriceFactor: 0.18 },
  zonePrices: new Map([
    ['a', 0.85],
    ['b', 1.2],
    ['c', 1],
  ]),
};

const workersOf = (
  availabilityZone: string,
  count: number,
  parts: Partial<OrderedWorker> = {},
): OrderedWorker[] =>
  Array.from({ length: count }, () => ({
    ...{ availabilityZone, spot: false, draining: false, leavesInMs: undefined },
    ...parts,
  }));

const ordinary = (count: number) => ['a', 'b', 'c'].flatMap((zone) => workersOf(zone, count));

const demandOf = (steadySlots: number, workMs = 1000, dueInMs = 7000): PoolDemand => ({
  ...{ slotsPerWorker: 6, steadySlots },
  batches: [{ batchId: 'b', model: 'm', waitingItems: 1, runningItems: 0, workMs, dueInMs }],
});

const accept = (planner: WorkerOrderPlanner, orders: readonly WorkerOrder[], nowMs: number) => {
  for (const order of orders) planner.recordResult(order, 'accepted', nowMs);
  return orders;
};

/** Registered workers as an order leaves them. */
const after = (orders: readonly WorkerOrder[], zone: string, spot: boolean, former: number) =>
  orders.find((order) => order.availabilityZone === zone && order.spot === spot)?.count ?? former;

// Guards against a new holder that counters orders of its predecessor which have not taken effect yet.
test('a new holder orders nothing for one start time, unless work is late', () => {
  const planner = new WorkerOrderPlanner();
  const input = {
    bounds: { ...bounds, startMs: 8000 },
    workers: ordinary(9),
    demand: demandOf(30),
  };
  for (let nowMs = 0; nowMs < 8000; nowMs += 500) {
    expect(planner.decide({ ...input, nowMs })).toEqual([]);
  }
  expect(planner.decide({ ...input, nowMs: 8000 }).length > 0).toEqual(true);
  const short = new WorkerOrderPlanner();
  const late = demandOf(30, 2_000_000, 2000);
  const orders = short.decide({ nowMs: 0, bounds, workers: ordinary(2), demand: late });
  expect(orders.length > 0).toEqual(true);
  expect(orders.every(({ count }) => count >= 2)).toEqual(true);
});

// Guards against ordering workers away because no demand has been reported.
test('without a report of the demand nothing is ordered', () => {
  const planner = new WorkerOrderPlanner();
  for (let nowMs = 0; nowMs < 30_000; nowMs += 1000) {
    const input = { nowMs, bounds, workers: ordinary(9), demand: undefined };
    expect(planner.decide(input)).toEqual([]);
  }
});

// Guards against draining ordinary workers before the cheaper ones that replace them serve.
test('ordinary workers are ordered away only as far as the rest suffices at that moment', () => {
  const planner = new WorkerOrderPlanner();
  const demand = demandOf(60); // 20 workers with the headroom
  for (let nowMs = 0; nowMs < 5000; nowMs += 1000) {
    planner.decide({ nowMs, bounds, workers: ordinary(9), demand });
  }
  const input = { nowMs: 5000, bounds, workers: ordinary(9), demand };
  const orders = accept(planner, planner.decide(input), 5000);
  const left = ['a', 'b', 'c'].map((zone) => after(orders, zone, false, 9));
  expect(left.reduce((sum, count) => sum + count, 0)).toEqual(20);
  expect(orders.some(({ spot }) => spot)).toEqual(true);
});

// Guards against orders back and forth while the load stays the same.
test('a constant load gets no more orders once the replacement is complete', () => {
  const planner = new WorkerOrderPlanner();
  const counts = new Map<string, number>();
  const sentAtMs: number[] = [];
  for (let nowMs = 0; nowMs <= 60_000; nowMs += 1000) {
    const workers = ['a', 'b', 'c'].flatMap((zone) => [
      ...workersOf(zone, counts.get(`${zone}/false`) ?? 9),
      ...workersOf(zone, counts.get(`${zone}/true`) ?? 0, { spot: true }),
    ]);
    const demand = demandOf(60 + 5 * Math.sin(nowMs));
    const orders = accept(planner, planner.decide({ nowMs, bounds, workers, demand }), nowMs);
    for (const { availabilityZone, spot, count } of orders) {
      counts.set(`${availabilityZone}/${spot}`, count);
      sentAtMs.push(nowMs);
    }
  }
  expect(sentAtMs.length > 0).toEqual(true);
  expect(sentAtMs.filter((atMs) => atMs > 20_000)).toEqual([]);
});

// Guards against calls, each with a price, that ask for spot workers while a reclaim leaves none to be had.
test('after a reclaim no spot workers are ordered in the zone for 9 s after they have left', () => {
  const planner = new WorkerOrderPlanner();
  const counts = new Map(['a', 'b', 'c'].map((zone) => [`${zone}/false`, 9]));
  const countOf = (zone: string, spot: boolean) => counts.get(`${zone}/${spot}`) ?? 0;
  let reclaimed: OrderedWorker[] = [];
  const orderedInZone: number[] = [];
  for (let nowMs = 0; nowMs < 60_000; nowMs += 500) {
    if (nowMs === 30_000) {
      const parts = { spot: true, draining: true, leavesInMs: 2500 };
      reclaimed = workersOf('a', countOf('a', true), parts);
      counts.set('a/true', 0);
    }
    const workers = ['a', 'b', 'c'].flatMap((zone) => [
      ...workersOf(zone, countOf(zone, false)),
      ...workersOf(zone, countOf(zone, true), { spot: true }),
    ]);
    const leaving = nowMs < 32_500 ? reclaimed : [];
    const input = { nowMs, bounds, workers: [...workers, ...leaving], demand: demandOf(50) };
    for (const order of accept(planner, planner.decide(input), nowMs)) {
      counts.set(`${order.availabilityZone}/${order.spot}`, order.count);
      const isInZone = nowMs > 30_000 && order.availabilityZone === 'a' && order.spot;
      if (isInZone) orderedInZone.push(nowMs);
    }
  }
  expect(reclaimed.length > 0).toEqual(true);
  expect(orderedInZone).toEqual([41_500]);
});

// Guards against a second, different order while the first may still take effect, in either order.
test('an order without an answer is repeated once the registrations show no effect, or after 12 s', () => {
  const late = (nowMs: number) => ({
    ...{ nowMs, bounds, workers: ordinary(2) },
    demand: demandOf(30, 2_000_000, 2000),
  });
  const planner = new WorkerOrderPlanner();
  const [first] = planner.decide(late(0));
  if (first === undefined) throw new Error('nothing was ordered');
  planner.recordResult(first, 'unknown', 100);
  const ordersAt = (nowMs: number) =>
    planner
      .decide(late(nowMs))
      .filter(
        ({ availabilityZone, spot }) =>
          availabilityZone === first.availabilityZone && spot === first.spot,
      );
  for (let nowMs = 1000; nowMs <= 6000; nowMs += 1000) expect(ordersAt(nowMs)).toEqual([]);
  expect(ordersAt(7000).length).toEqual(1);
});

// Guards against an order that the control API refused and that counts as in effect.
test('a refused order leaves the former one, and one for which nothing is available pauses this kind in the zone', () => {
  const planner = new WorkerOrderPlanner();
  const late = { bounds, workers: ordinary(2), demand: demandOf(30, 2_000_000, 2000) };
  const orders = planner.decide({ ...late, nowMs: 0 });
  for (const order of orders) {
    planner.recordResult(order, order.spot ? 'none-available' : 'refused', 0);
  }
  expect(planner.subjects().map(({ ordered }) => ordered)).toEqual(
    planner.subjects().map(({ registered }) => registered),
  );
  const again = planner.decide({ ...late, nowMs: 2000 });
  expect(again.length > 0).toEqual(true);
  expect(again.some(({ spot }) => spot)).toEqual(false);
});

// Guards against orders outside the bounds of the tables, which the platform refuses, and against a reserve that counts
// the workers that a reclaim takes.
test('distributions stay within the bounds and keep the need after the loss of any zone of spot workers', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 0, max: 60 }),
      fc.integer({ min: 1, max: 4 }),
      fc.integer({ min: 0, max: 3 }),
      fc.integer({ min: 1, max: 24 }),
      (need, zoneCount, minWorkers, more) => {
        const zones = Array.from({ length: zoneCount }, (_, index) => ({
          ...{ name: `z${index}`, price: 1 + index / 10, ordinary: 2, spot: 0 },
          ...{ ordinaryBlocked: false, spotBlocked: false },
        }));
        const limits = { minWorkers, maxWorkers: minWorkers + more, spotPriceFactor: 0.18 };
        const targets = spotWithReserve()(need, zones, limits);
        expect(targets.length).toEqual(zoneCount);
        for (const target of targets) {
          const both = target.ordinary + target.spot;
          expect(both >= minWorkers && both <= limits.maxWorkers).toEqual(true);
        }
        const sum = targets.reduce((all, target) => all + target.ordinary + target.spot, 0);
        const largest = zoneCount > 1 ? Math.max(...targets.map(({ spot }) => spot)) : 0;
        const reachable = Math.min(need, zoneCount * limits.maxWorkers);
        expect(sum - largest >= reachable).toEqual(true);
      },
    ),
    { seed: 20261206, numRuns: 300 },
  );
});
