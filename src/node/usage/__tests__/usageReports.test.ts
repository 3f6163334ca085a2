import { test } from 'node:test';
import { expect } from 'earl';
import { seededRandom } from '../../../shared/random.ts';
import { FAULTS, sendRequests, startUsageNodes, type UsageRun, WINDOW_MS } from './usageHarness.ts';

const NAMES = ['a', 'b', 'c', 'd', 'e', 'f'];

const NOTHING_WRONG = { missing: 0, late: 0, inaccurate: 0, contradictory: 0 };

const holderName = (run: UsageRun): string => {
  const holder = run.holder();
  if (holder === undefined) throw new Error('no node holds the duty');
  return holder.name;
};

// Guards against windows that are not reported, reported twice, or reported before all nodes have told their counts.
test('without faults every window is reported once, in time and exactly', async () => {
  using run = startUsageNodes(NAMES);
  await sendRequests(run, 60_000);
  const { windows, ...faults } = run.judge(0);
  expect(windows >= 8).toEqual(true);
  expect(faults).toEqual(NOTHING_WRONG);
  expect(run.control.callCount).toEqual(new Set(run.control.executed.map((c) => c.window)).size);
  expect(run.control.violations()).toEqual([]);
});

// Guards against operators who cannot see what was reported.
test('the holder shows the windows with their counts and states, another node what it has kept', async () => {
  using run = startUsageNodes(NAMES);
  await sendRequests(run, 21_000);
  const windowOf = (atMs: number) => Math.floor(atMs / WINDOW_MS);
  const current = windowOf(run.clock.nowMs());
  const views = new Map(
    run
      .usageOf(holderName(run))
      .statuses()
      .map((status) => [Number(status.window), status]),
  );
  const reported = run.control.executed.at(-1);
  const sent = views.get(reported?.window ?? 0);
  expect(sent?.state).toEqual('sent');
  expect(sent?.requests).toEqual(Object.fromEntries(reported?.counts ?? []));
  expect(views.get(current)?.state).toEqual('open');
  const other = NAMES.find((name) => name !== holderName(run)) ?? '';
  const states = run
    .usageOf(other)
    .statuses()
    .map(({ state }) => state);
  expect(new Set(states)).toEqual(new Set(['open']));
});

// Guards against needless calls to the platform, each of which has a price.
test('a window costs one write and one read of the record, and one removal later', async () => {
  using run = startUsageNodes(NAMES);
  await sendRequests(run, 20_000);
  const [writes, calls] = [run.platform.writtenKeys.length, run.platform.callCount];
  await sendRequests(run, 4 * WINDOW_MS);
  expect(run.platform.writtenKeys.length - writes).toEqual(4);
  expect(run.platform.callCount - calls <= 8 + 4 * (WINDOW_MS / 2500)).toEqual(true);
  await sendRequests(run, 130_000, { perSecond: 0 });
  const removed = run.platform.writtenKeys.length - new Set(run.platform.writtenKeys).size;
  expect(removed >= 5).toEqual(true);
});

// Guards against windows without requests that the platform takes for missing ones.
test('a window without requests is reported with empty counts', async () => {
  using run = startUsageNodes(NAMES);
  await sendRequests(run, 30_000, { perSecond: 0 });
  expect(run.control.executed.length >= 4).toEqual(true);
  expect(run.control.executed.every(({ counts }) => counts.size === 0)).toEqual(true);
});

for (const fenced of [true, false]) {
  // Guards against windows that are lost with their holder: its counts, its stored reports, or the wait of its successor.
  test(`the loss of a holder makes at most one report late, fenced: ${fenced}`, async () => {
    using run = startUsageNodes(NAMES, { fenced });
    await sendRequests(run, 22_000);
    const lost = run.nodes.find(({ name }) => name === holderName(run));
    if (lost !== undefined) Object.assign(lost.state, { suspected: true, leaving: false });
    if (lost !== undefined) lost.clock.paused = true;
    await sendRequests(run, 40_000);
    const { missing, late, contradictory } = run.judge(0);
    expect(missing).toEqual(0);
    expect(late <= 1).toEqual(true);
    expect(contradictory).toEqual(0);
    expect(run.control.violations()).toEqual([]);
  });

  // Guards against a call of a lost holder that is executed after its successor's, which did not wait for it, and against a
  // successor that sends what it knows instead of what is stored.
  test(`a successor waits for a report without an answer, fenced: ${fenced}`, async () => {
    using run = startUsageNodes(NAMES, { fenced });
    await sendRequests(run, 19_900);
    Object.assign(run.control, { mode: 'silent', lateMs: 11_500 });
    const { callCount } = run.control;
    while (run.control.callCount === callCount) await sendRequests(run, 100);
    const lost = run.nodes.find(({ name }) => name === holderName(run));
    if (lost !== undefined) {
      lost.clock.paused = true;
      lost.state.suspected = true;
    }
    Object.assign(run.control, { mode: 'answers' });
    // Counts of the window that become known after its report was stored.
    const reportedWindow = Math.floor(run.clock.nowMs() / WINDOW_MS) - 1;
    for (const { name } of run.nodes) {
      for (let count = 0; count < 50; count += 1) {
        run.usageOf(name).counter.counts.add('large', (reportedWindow + 0.5) * WINDOW_MS);
      }
    }
    await sendRequests(run, 50_000);
    // With fencing, the late call is rejected for its token.
    const executed = run.control.executed.filter((call) => call.window === reportedWindow);
    expect(executed.length).toEqual(fenced ? 1 : 2);
    expect(run.judge(0).contradictory).toEqual(0);
    expect(run.control.violations()).toEqual([]);
    expect(run.control.executed.at(-1)?.fencing).toEqual(2);
  });
}

// Guards against counts that a stopping node takes with it.
test('a planned stop of each node in turn loses no counts and no window', async () => {
  using run = startUsageNodes(NAMES);
  await sendRequests(run, 12_000);
  for (const name of NAMES) {
    FAULTS.plannedStop?.(run, name, run.random);
    await sendRequests(run, 6000);
  }
  await sendRequests(run, 15_000);
  const { windows, ...faults } = run.judge(0);
  expect(windows >= 9).toEqual(true);
  expect(faults).toEqual(NOTHING_WRONG);
});

// Guards against the counts since the last report of a stopping node, which no other node has.
test('a stopping node tells its last counts before its exit', async () => {
  using run = startUsageNodes(NAMES);
  await sendRequests(run, 22_000);
  const name = NAMES.find((each) => each !== holderName(run)) ?? '';
  for (let count = 0; count < 200; count += 1) void run.request(name, 'rare');
  await run.clock.advanceAsync(60);
  void run.usageOf(name).exchange.push();
  await run.clock.advanceAsync(20);
  run.restart(name);
  await sendRequests(run, 20_000);
  const reports = run.control.executed.filter(({ counts }) => counts.has('rare'));
  expect(reports.map(({ counts }) => counts.get('rare'))).toEqual([200]);
});

// Guards against requests that are counted in the wrong window after the wall clock of a node was stepped.
test('a step of the clock of the node that serves all requests changes no report', async () => {
  using run = startUsageNodes(NAMES);
  await sendRequests(run, 22_000);
  const stepped = run.nodes.find(({ name }) => name !== holderName(run));
  const requestsFor = async (durationMs: number) => {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 25) {
      void run.request(stepped?.name ?? '', 'acme');
      await run.clock.advanceAsync(25);
    }
  };
  await requestsFor(5000);
  if (stepped !== undefined) stepped.clock.wallOffsetMs = 2000;
  await requestsFor(10_000);
  if (stepped !== undefined) stepped.clock.wallOffsetMs = 0;
  await requestsFor(20_000);
  const { windows, ...faults } = run.judge(25_000);
  expect(windows >= 3).toEqual(true);
  expect(faults).toEqual(NOTHING_WRONG);
});

// Guards against a successor that does not wait although an earlier copy of a confirmed report may still be executed.
test('a report that was repeated counts as confirmed only when its first copy cannot be executed any more', async () => {
  using run = startUsageNodes(NAMES, { fenced: false });
  await sendRequests(run, 19_900);
  Object.assign(run.control, { mode: 'silent', lateMs: 11_900 });
  const { callCount } = run.control;
  while (run.control.callCount === callCount) await sendRequests(run, 25);
  Object.assign(run.control, { mode: 'answers' });
  const lost = run.nodes.find(({ name }) => name === holderName(run));
  await sendRequests(run, 3500);
  expect(run.control.callCount).toEqual(callCount + 2);
  if (lost !== undefined) {
    lost.clock.paused = true;
    lost.state.suspected = true;
  }
  await sendRequests(run, 40_000);
  expect(run.control.violations()).toEqual([]);
  expect(run.control.executed.at(-1)?.fencing).toEqual(2);
});

// Guards against a report of a window of which most counts are lost: the price of an inaccurate one is that of none.
test('after a restart of all nodes late in a window, that window is not reported', async () => {
  using run = startUsageNodes(NAMES);
  await sendRequests(run, 20_000);
  const intoWindowMs = run.clock.nowMs() % WINDOW_MS;
  await sendRequests(run, WINDOW_MS - intoWindowMs + 3500);
  const window = Math.floor(run.clock.nowMs() / WINDOW_MS);
  for (const name of NAMES) run.restart(name);
  await sendRequests(run, 40_000);
  const reported = new Set(run.control.executed.map((call) => call.window));
  expect(reported.has(window)).toEqual(false);
  expect(reported.has(window + 1)).toEqual(true);
});

// Guards against any two accepted reports of a window that differ, breaches of the rules for holders, and windows lost in
// faults: nodes crash, restart, pause, are cut off, step their clocks and stop; messages and calls are lost or late.
for (const fenced of [true, false]) {
  test(`random faults, fenced: ${fenced}`, async () => {
    const names = Object.keys(FAULTS);
    const sum = { windows: 0, missing: 0, late: 0, inaccurate: 0, contradictory: 0 };
    for (let seed = 1; seed <= 4; seed += 1) {
      using run = startUsageNodes(NAMES, { seed, fenced });
      const random = seededRandom(1000 + seed);
      const pick = (choices: readonly string[]) => choices[Math.floor(random() * choices.length)];
      let nextMs = 6000;
      let endsMs = 0;
      let end: (() => void) | undefined;
      const onStep = () => {
        const elapsedMs = run.since.elapsedMs();
        if (elapsedMs >= endsMs) end?.();
        if (elapsedMs >= endsMs) end = undefined;
        const isStopping = run.nodes.some(({ state }) => state.leaving);
        if (elapsedMs < nextMs || elapsedMs > 75_000 || isStopping) return;
        nextMs = elapsedMs + 5000 + 5000 * random();
        endsMs = elapsedMs + 500 + 3500 * random();
        const node = (random() < 0.4 ? run.holder()?.name : undefined) ?? pick(NAMES) ?? '';
        end = FAULTS[pick(names) ?? '']?.(run, node, random);
      };
      await sendRequests(run, 90_000, { onStep });
      const result = run.judge(0);
      for (const key of Object.keys(sum) as (keyof typeof sum)[]) sum[key] += result[key];
      expect(run.control.violations()).toEqual([]);
    }
    expect(sum.contradictory).toEqual(0);
    // At least 19 of 20 windows are reported in time and accurate.
    expect(20 * (sum.missing + sum.late + sum.inaccurate) <= sum.windows).toEqual(true);
  });
}
