import { test } from 'node:test';
import { expect } from 'earl';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { BulkCalls } from '../bulkCalls.ts';
import { CallBudget } from '../callBudget.ts';

const start = (callsPerSecond: number, bulkReserve: number) => {
  const clock = new VirtualClock();
  const budget = new CallBudget(clock, { callsPerSecond, bulkReserve });
  const calls = new BulkCalls(clock, budget);
  const started: string[] = [];
  const acquire = async (name: string, order: number, signal?: AbortSignal) => {
    const call = await calls.acquire(order, signal);
    if (call !== undefined) started.push(name);
    return call;
  };
  return { clock, budget, started, acquire };
};

// Guards against a large reading that leaves no calls for requests and results.
test('bulk calls wait while fewer calls are left than they must leave to others', async () => {
  const { clock, budget, started, acquire } = start(10, 4);
  for (let number = 0; number < 8; number += 1) void acquire(`${number}`, 0);
  await clock.advanceAsync(0);
  expect(started.length).toEqual(6);
  expect([1, 2, 3, 4].map(() => budget.reserve())).toEqual([0, 0, 0, 0]);
  await clock.advanceAsync(399);
  expect(started.length).toEqual(6);
  await clock.advanceAsync(301);
  expect(started.length).toEqual(8);
});

// Guards against readings that all proceed side by side, so that none is complete before all are.
test('calls of lower orders start first, those of one order in turn', async () => {
  const { clock, budget, started, acquire } = start(10, 0);
  for (let count = 0; count < 10; count += 1) budget.reserve();
  for (const [name, order] of [
    ['c', 2],
    ['a', 1],
    ['d', 2],
    ['b', 1],
  ] as const) {
    void acquire(name, order);
  }
  await clock.advanceAsync(500);
  expect(started).toEqual(['a', 'b', 'c', 'd']);
});

// Guards against the answers of a whole reading that are in memory at the same time.
test('only some bulk calls are in progress at the same time', async () => {
  const { clock, started, acquire } = start(100, 0);
  const first = acquire('0', 0);
  for (let number = 1; number < 20; number += 1) void acquire(`${number}`, 0);
  await clock.advanceAsync(0);
  expect(started.length).toEqual(8);
  (await first)?.[Symbol.dispose]();
  await clock.advanceAsync(0);
  expect(started.length).toEqual(9);
});

// Guards against calls for a batch that has ended, and against a place that a cancelled call keeps.
test('a cancelled call does not start and holds up no other', async () => {
  const { clock, budget, started, acquire } = start(10, 0);
  for (let count = 0; count < 10; count += 1) budget.reserve();
  const abort = new AbortController();
  const cancelled = acquire('a', 0, abort.signal);
  void acquire('b', 1);
  abort.abort();
  await clock.advanceAsync(100);
  expect(await cancelled).toEqual(undefined);
  expect(started).toEqual(['b']);
});

// Guards against a lease that is lost because its calls wait behind those of submissions.
test('calls for leases start at once while others wait', () => {
  const budget = new CallBudget(new VirtualClock(), { callsPerSecond: 10, leaseReserve: 2 });
  const waits = Array.from({ length: 10 }, () => budget.reserve());
  expect(waits.filter((waitMs) => waitMs === 0).length).toEqual(8);
  expect([budget.reserveForLease(), budget.reserveForLease()]).toEqual([0, 0]);
  expect(budget.reserveForLease()).toEqual(300);
});
