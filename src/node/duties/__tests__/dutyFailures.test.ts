import { test } from 'node:test';
import { expect } from 'earl';
import { repeatEvery } from '../../../shared/repeat.ts';
import type { WorkerOrderResult } from '../controlCalls.ts';
import type { Duty } from '../duty.ts';
import { type DutyNode, type NodeParts, startDutyNodes } from './dutyHarness.ts';

const NAMES = ['a', 'b', 'c'];

const requireHolder = (node: DutyNode | undefined): DutyNode => {
  if (node === undefined) throw new Error('no node holds the duty');
  return node;
};

// Guards against a duty that nobody performs, and against two holders after a start of all nodes at the same time.
test('of nodes that start together exactly one calls', async () => {
  using run = startDutyNodes(NAMES);
  await run.clock.advanceAsync(5000);
  expect(new Set(run.control.executed.map(({ node }) => node)).size).toEqual(1);
  expect(run.control.violations()).toEqual([]);
});

for (const fenced of [true, false]) {
  // Guards against a call that a holder sends after it was paused for longer than the lease, on the strength of a read
  // that it sent before the pause.
  test(`a holder paused between its verification and its call sends nothing, fenced: ${fenced}`, async () => {
    using run = startDutyNodes(NAMES, { fenced });
    await run.clock.advanceAsync(4000);
    const paused = requireHolder(run.holder());
    // Pauses it while the platform's response to a verification is on its way.
    const reads = run.platform.callCount;
    while (run.platform.callCount === reads) await run.clock.advanceAsync(1);
    paused.clock.paused = true;
    const callsBefore = paused.results.length;
    paused.state.suspected = true;
    paused.state.uninformed = true;
    await run.clock.advanceAsync(30_000);
    paused.clock.resume();
    paused.state.suspected = false;
    await run.clock.advanceAsync(5);
    paused.state.uninformed = false;
    expect(paused.results.length).toEqual(callsBefore);
    await run.clock.advanceAsync(20_000);
    expect(run.control.violations()).toEqual([]);
    expect(new Set(run.control.executed.map(({ node }) => node)).size).toEqual(2);
  });

  // Guards against a call with a lower token that is executed after the successor's first one, and against two holders
  // that act in turns.
  test(`a late call of a lost holder is not executed after its successor's, fenced: ${fenced}`, async () => {
    using run = startDutyNodes(NAMES, { fenced });
    await run.clock.advanceAsync(4000);
    run.control.mode = 'silent';
    run.control.lateMs = 11_900;
    await run.clock.advanceAsync(1100);
    const lost = requireHolder(run.holder());
    lost.clock.paused = true;
    lost.state.suspected = true;
    run.control.mode = 'answers';
    await run.clock.advanceAsync(40_000);
    expect(run.control.violations()).toEqual([]);
    expect(run.control.executed.at(-1)?.node === lost.name).toEqual(false);
  });
}

// Guards against a term that is used on the strength of a claim whose response arrived during a pause of the process.
test('a node paused during its claim does not call before it has read the record again', async () => {
  using run = startDutyNodes(NAMES, { fenced: false });
  while (run.platform.writtenKeys.length === 0) await run.clock.advanceAsync(1);
  const claimed = [...run.platform.objects.values()][0]?.value as { readonly node: string };
  const paused = requireHolder(run.nodes.find(({ name }) => name === claimed.node));
  paused.clock.paused = true;
  paused.state.suspected = true;
  paused.state.uninformed = true;
  await run.clock.advanceAsync(25_000);
  paused.clock.resume();
  await run.clock.advanceAsync(10_000);
  expect(paused.results).toEqual([]);
  expect(run.control.violations()).toEqual([]);
  expect(run.control.executed.length > 0).toEqual(true);
});

// Guards against a holder that keeps the duty although it cannot prove that it holds it.
test('a holder that loses the platform stops calling and is replaced within 4 s', async () => {
  using run = startDutyNodes(NAMES);
  await run.clock.advanceAsync(4000);
  const lost = requireHolder(run.holder());
  const calls = lost.results.length;
  lost.state.platformLost = true;
  await run.clock.advanceAsync(4000);
  expect(lost.results.length - calls <= 1).toEqual(true);
  const last = run.control.executed.at(-1);
  expect(last?.node === lost.name).toEqual(false);
  expect(last?.fencing).toEqual(2);
  expect(run.control.violations()).toEqual([]);
});

// Guards against needless take-overs, and against calls without a proof, while no node reaches the platform.
test('in an outage for all nodes nobody calls, and the holder continues under its term', async () => {
  using run = startDutyNodes(NAMES);
  await run.clock.advanceAsync(4000);
  for (const { state } of run.nodes) state.platformLost = true;
  await run.clock.advanceAsync(600);
  const calls = run.control.callCount;
  await run.clock.advanceAsync(10_000);
  expect(run.control.callCount).toEqual(calls);
  for (const { state } of run.nodes) state.platformLost = false;
  await run.clock.advanceAsync(3000);
  expect(run.control.callCount > calls).toEqual(true);
  expect(new Set(run.control.executed.map(({ fencing }) => fencing))).toEqual(new Set([1]));
});

// Guards against a duty without a holder when the holder and most other nodes lose the platform.
test('with the platform lost for most nodes, one that reaches it takes over', async () => {
  using run = startDutyNodes(['a', 'b', 'c', 'd']);
  await run.clock.advanceAsync(4000);
  const holder = requireHolder(run.holder());
  const spared = run.nodes.find((node) => node !== holder);
  for (const node of run.nodes) node.state.platformLost = node !== spared;
  await run.clock.advanceAsync(5000);
  expect(run.control.executed.at(-1)?.node).toEqual(spared?.name);
  expect(run.control.violations()).toEqual([]);
});

// Guards against a term that is used although it is not certain that its claim took effect: another node may hold it.
test('after a lost response to a claim no two nodes use the same term', async () => {
  using run = startDutyNodes(NAMES);
  run.platform.loseResponses = 2;
  await run.clock.advanceAsync(8000);
  expect(run.control.violations()).toEqual([]);
  expect(new Set(run.control.executed.map(({ node }) => node)).size).toEqual(1);
});

// Guards against a planned stop that costs the wait for a lost holder: 15 s without fencing.
test('a planned stop hands the duty over within 3 s without fencing', async () => {
  using run = startDutyNodes(NAMES, { fenced: false });
  await run.clock.advanceAsync(4500);
  const leaving = requireHolder(run.holder());
  leaving.state.leaving = true;
  void leaving.runner.release();
  const calls = leaving.results.length;
  await run.clock.advanceAsync(3000);
  expect(leaving.results.length).toEqual(calls);
  expect(run.control.executed.at(-1)?.fencing).toEqual(2);
  expect(run.control.violations()).toEqual([]);
});

// Guards against a release while a call without a response may still be executed, after the successor's first call.
test('a holder with an unanswered call does not release the duty without fencing', async () => {
  using run = startDutyNodes(NAMES, { fenced: false });
  await run.clock.advanceAsync(4500);
  run.control.mode = 'silent';
  run.control.lateMs = 8000;
  await run.clock.advanceAsync(1000);
  run.control.mode = 'answers';
  const leaving = requireHolder(run.holder());
  leaving.state.leaving = true;
  void leaving.runner.release();
  await run.clock.advanceAsync(30_000);
  expect(run.control.executed.at(-1)?.fencing).toEqual(2);
  expect(run.control.violations()).toEqual([]);
});

// Guards against a holder that keeps calling with a token that was refused as outdated.
test('a holder stops with its token after a 409', async () => {
  using run = startDutyNodes(NAMES);
  await run.clock.advanceAsync(4000);
  const holder = requireHolder(run.holder());
  run.control.highestToken = 2;
  await run.clock.advanceAsync(5000);
  expect(holder.results.filter((result) => result === 'fenced').length).toEqual(1);
  expect(run.control.executed.filter(({ fencing }) => fencing === 1).length).toEqual(
    holder.results.indexOf('fenced'),
  );
});

// Guards against a holder that gives the duty up because there are no workers to be had, which the control API answers with
// the same status as a call under an outdated token.
test('a 409 to an order is no loss of the duty while the record names this node', async () => {
  const results: WorkerOrderResult[] = [];
  const createDuty = ({ clock }: NodeParts): Duty => ({
    name: 'usage-reports',
    start: ({ calls, verify }) =>
      repeatEvery(clock, 2000, async () => {
        if (!(await verify())) return;
        const order = { pool: 'p', availabilityZone: 'z', count: 2, spot: true };
        results.push(await calls.orderWorkers(order));
      }),
  });
  using run = startDutyNodes(NAMES, { createDuty });
  await run.clock.advanceAsync(10_000);
  const holder = requireHolder(run.holder());
  expect(results.length > 1).toEqual(true);
  expect(results.every((result) => result === 'none-available')).toEqual(true);
  holder.state.platformLost = true;
  await run.clock.advanceAsync(4000);
  expect(results.includes('fenced')).toEqual(false);
  expect(run.holder()?.name === holder.name).toEqual(false);
});

for (const mode of ['silent', 'refuses'] as const) {
  // Guards against a duty that moves, or ends, because the control API does not work.
  test(`the holder keeps the duty while the control API ${mode} and calls again afterwards`, async () => {
    using run = startDutyNodes(NAMES);
    await run.clock.advanceAsync(4000);
    const holder = requireHolder(run.holder());
    run.control.mode = mode;
    run.control.lateMs = 3000;
    await run.clock.advanceAsync(10_000);
    run.control.mode = 'answers';
    await run.clock.advanceAsync(6000);
    expect(run.holder()?.name).toEqual(holder.name);
    expect(run.control.executed.at(-1)?.fencing).toEqual(1);
    expect(run.control.violations()).toEqual([]);
  });
}
