import { test } from 'node:test';
import { expect } from 'earl';
import { MAX_ACCOUNTS, MAX_REPORT_WAIT_MS, MAX_WINDOWS } from '../constants.ts';
import { UsageCounts } from '../usageCounts.ts';
import { UsageLedger } from '../usageLedger.ts';
import { decideWindow } from '../windowDecision.ts';
import { WorkTimes } from '../workTimes.ts';

const WINDOW_MS = 5000;

const START_MS = 1000 * WINDOW_MS;

const usageOf = (incarnation: string, window: number, counts: Record<string, number>) => ({
  ...{ incarnation, completeUntilMs: (window + 1) * WINDOW_MS },
  windows: [{ window, requests: new Map(Object.entries(counts)) }],
});

// Guards against counts that grow with repeated messages, or fall with late ones.
test('the largest count of each incarnation holds, in any order of messages', () => {
  const ledger = new UsageLedger();
  for (const count of [3, 5, 5, 2]) ledger.merge(usageOf('a-1', 10, { acme: count }), 10);
  ledger.merge(usageOf('a-2', 10, { acme: 1 }), 10);
  expect(ledger.totalOf(10).counts).toEqual(new Map([['acme', 6]]));
});

// Guards against memory that grows with accounts, windows or nodes, and against a node whose clock is far ahead.
test('accounts, windows and nodes are bounded', () => {
  const ledger = new UsageLedger();
  const many = Object.fromEntries(Array.from({ length: 1500 }, (_, index) => [`acct-${index}`, 1]));
  ledger.merge(usageOf('a', 10, many), 10);
  ledger.merge(usageOf('b', 10, { other: 7 }), 10);
  const { counts, droppedAccounts } = ledger.totalOf(10);
  expect(counts.size).toEqual(MAX_ACCOUNTS);
  expect(counts.get('other')).toEqual(7);
  expect(droppedAccounts).toEqual(1);
  ledger.merge(usageOf('a', 1000, { acme: 1 }), 10);
  expect(ledger.windows()).toEqual([10]);
  for (let index = 0; index < 3000; index += 1) ledger.merge(usageOf(`n${index}`, 10, {}), 10);
  expect(ledger.kept(0).length).toEqual(1024);
  ledger.sweep(10 + MAX_WINDOWS);
  expect(ledger.kept(0)).toEqual([]);
});

// Guards against a report without the counts of a node that only lags behind.
test('nodes that have not reported up to the end of a window are incomplete', () => {
  const ledger = new UsageLedger();
  ledger.merge(usageOf('a', 10, {}), 10);
  ledger.merge({ ...usageOf('b', 10, {}), completeUntilMs: 11 * WINDOW_MS - 1 }, 10);
  const incomplete = ledger.incompleteNodes(10, 11 * WINDOW_MS, ['a', 'b', 'c'], ['d']);
  expect(incomplete).toEqual(['b', 'c']);
  ledger.merge({ ...usageOf('d', 10, {}), completeUntilMs: 0 }, 10);
  expect(ledger.incompleteNodes(10, 11 * WINDOW_MS, ['a'], ['d'])).toEqual(['d']);
});

// Guards against a report of a window of which no node has seen the beginning.
test('a window is covered by a node that started before its middle', () => {
  for (const [startedMs, covered] of [
    [START_MS + 2400, true],
    [START_MS + 2600, false],
  ] as const) {
    const counts = new UsageCounts(WINDOW_MS, startedMs);
    counts.add('acme', startedMs + 100);
    const ledger = new UsageLedger();
    const windows = counts.changedSince(0);
    ledger.merge({ incarnation: 'a', windows, completeUntilMs: 0 }, 1000);
    expect(ledger.covers(1000)).toEqual(covered);
    expect(ledger.covers(1001)).toEqual(true);
  }
});

// Guards against a window that is never reported because a node is silent, and one that is reported before all answered.
test('a window waits for all nodes while the report is in time', () => {
  const state = { incompleteNodes: 0, covered: true };
  expect(decideWindow({ ...state, sinceEndMs: -1 })).toEqual('wait');
  expect(decideWindow({ ...state, sinceEndMs: 100 })).toEqual('report');
  expect(decideWindow({ ...state, sinceEndMs: 100, incompleteNodes: 1 })).toEqual('wait');
  const late = { sinceEndMs: MAX_REPORT_WAIT_MS, incompleteNodes: 1 };
  expect(decideWindow({ ...late, covered: true })).toEqual('report');
  expect(decideWindow({ ...late, covered: false })).toEqual('skip');
  expect(decideWindow({ ...state, sinceEndMs: 100, covered: false })).toEqual('wait');
});

// Guards against counts that stop for the time by which a clock was ahead, and against a lost request at a window's end.
test('counts continue after the clock was far ahead, and belong to the window in which a request began', () => {
  const counts = new UsageCounts(WINDOW_MS, START_MS + 3_600_000);
  counts.advance(START_MS);
  expect(counts.add('acme', START_MS + 10)).toEqual('counted');
  expect(counts.add('acme', START_MS + WINDOW_MS - 1)).toEqual('counted');
  expect(counts.add('acme', START_MS + WINDOW_MS)).toEqual('counted');
  const windows = counts
    .changedSince(0)
    .map(({ window, requests }) => [window, requests.get('acme')]);
  expect(windows).toEqual([
    [1000, 2],
    [1001, 1],
  ]);
});

// Guards against requests that are counted in the window in which they were sent although the worker queued them.
test('a request that waited at its worker began its usual work time before the response', () => {
  const times = new WorkTimes();
  expect(times.sinceBeginMs('r', 80)).toEqual(80);
  for (let index = 0; index < 100; index += 1) times.observe('r', 50, 0);
  times.observe('r', 2000, 3);
  expect(Math.round(times.sinceBeginMs('r', 2000))).toEqual(50);
  expect(times.sinceBeginMs('r', 20)).toEqual(20);
});
