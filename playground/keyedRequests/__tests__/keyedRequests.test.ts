import { after, before, test } from 'node:test';
import { expect } from 'earl';
import type { ClusterNode } from '../../membership/cluster.ts';
import { waitUntil } from '../../membership/cluster.ts';
import { KEYED_TIMING, type KeyedDeployment, startKeyedDeployment } from '../keyedDeployment.ts';

const REQUESTS = 'hyssoppulley_keyed_requests_total';
const TIMEOUT = { timeout: 60_000 };

let deployment: KeyedDeployment;
/** `killedBefore` and `killedAfter` are each killed by one test; the other nodes run until the end. */
let [home, witness, entry, killedBefore, killedAfter] = [] as unknown as ClusterNode[] &
  [ClusterNode, ClusterNode, ClusterNode, ClusterNode, ClusterNode];

before(async () => {
  deployment = await startKeyedDeployment(['entry-a', 'entry-b', 'entry-c', 'entry-d', 'entry-e']);
  [home, witness, entry, killedBefore, killedAfter] = deployment.nodes as [
    ClusterNode,
    ClusterNode,
    ClusterNode,
    ClusterNode,
    ClusterNode,
  ];
}, TIMEOUT);

after(() => deployment[Symbol.asyncDispose]());

// Guards against a second run when a caller repeats its key at another entry, also while the first run is in progress.
test(
  'a key repeated at another entry, during or after its run, gets the first response',
  TIMEOUT,
  async () => {
    const key = await deployment.createKey(home, witness, 'repeat');
    await deployment.setAnswerLatencyMs(300);
    const [first, meanwhile] = await Promise.all([
      deployment.send(entry, key, 'repeat'),
      deployment.send(witness, key, 'repeat'),
    ]);
    await deployment.setAnswerLatencyMs(0);
    const later = await Promise.all(
      [home, witness, entry].map((node) => deployment.send(node, key, 'repeat')),
    );
    const answers = [first, meanwhile, ...later];
    expect(answers.map(({ outcome }) => outcome)).toEqual(Array(5).fill('answered'));
    expect(new Set(answers.map(({ text }) => text)).size).toEqual(1);
    expect(first.repeated !== meanwhile.repeated).toEqual(true);
    expect(later.map(({ repeated }) => repeated)).toEqual([true, true, true]);
    expect(await deployment.runs('repeat')).toEqual(1);
  },
);

test(
  'a request without a key is assigned one under which a repeat gets the first response',
  TIMEOUT,
  async () => {
    const first = await deployment.send(home, undefined, 'assigned');
    expect(first.outcome).toEqual('answered');
    const repeat = await deployment.send(entry, first.key ?? '', 'assigned');
    expect([repeat.repeated, repeat.text]).toEqual([true, first.text]);
    expect(await deployment.runs('assigned')).toEqual(1);
  },
);

test(
  'a key that no node issued is refused, and so is a used key with another body',
  TIMEOUT,
  async () => {
    const foreign = await deployment.send(entry, 'order-7', 'foreign');
    expect([foreign.status, foreign.outcome]).toEqual([400, 'not-run']);
    const key = await deployment.createKey(home, witness, 'content');
    await deployment.send(entry, key, 'content');
    const other = await deployment.send(entry, key, 'content-2');
    expect([other.status, other.outcome, other.code]).toEqual([422, 'unknown', 'key-mismatch']);
    expect(await deployment.runs('content-2')).toEqual(0);
  },
);

// Guards against a request refused as `not-run` for its body size whose key runs later with another body.
test(
  'a body over the size limit is refused as not-run, and so is every repeat of its key',
  TIMEOUT,
  async () => {
    for (const [node, unique] of [
      [home, 'large-home'],
      [entry, 'large-entry'],
    ] as const) {
      const key = await deployment.createKey(home, witness, unique);
      const large = await deployment.send(node, key, unique, 'x'.repeat(1024 * 1024 + 1));
      expect([large.status, large.outcome]).toEqual([413, 'not-run']);
      expect((await deployment.send(node, key, unique)).outcome).toEqual('not-run');
      expect(await deployment.runs(unique)).toEqual(0);
    }
  },
);

// Guards against a run whose response no repeat can retrieve because its caller disconnected.
test(
  'a run continues after its caller disconnects, and a repeat gets its response',
  TIMEOUT,
  async () => {
    const key = await deployment.createKey(home, witness, 'left');
    await deployment.setAnswerLatencyMs(500);
    const leaving = fetch(`http://${entry.address}/dispatch`, {
      method: 'POST',
      headers: { 'x-run-id': 'left', 'idempotency-key': key },
      body: 'crew for left',
      signal: AbortSignal.timeout(100),
    });
    await leaving.catch(() => {});
    const repeat = await deployment.send(witness, key, 'left');
    await deployment.setAnswerLatencyMs(0);
    expect(repeat.outcome).toEqual('answered');
    expect(await deployment.runs('left')).toEqual(1);
  },
);

// Guards against a key that is sealed, or a request answered with `unknown`, only because its worker takes longer than
// the time after which a silent home is suspected.
test(
  'a worker slower than the suspicion time gets its response to the caller',
  TIMEOUT,
  async () => {
    const key = await deployment.createKey(home, witness, 'slow');
    await deployment.setAnswerLatencyMs(2 * KEYED_TIMING.suspectAfterMs);
    const answer = await deployment.send(entry, key, 'slow');
    await deployment.setAnswerLatencyMs(0);
    expect([answer.outcome, answer.repeated]).toEqual(['answered', false]);
  },
);

// Guards against a paused home that resumes and runs a request that was refused as `not-run`.
test('a home that resumes after its key was sealed does not run the key', TIMEOUT, async () => {
  const key = await deployment.createKey(home, witness, 'paused');
  const refusals = () => deployment.metric(home, REQUESTS, 'cause="witness-refused"');
  const refusedBefore = await refusals();
  home.process.child.kill('SIGSTOP');
  const answer = await deployment.send(entry, key, 'paused');
  expect([answer.outcome, answer.code]).toEqual(['not-run', 'home-silent']);
  home.process.child.kill('SIGCONT');
  // The request is still in the home's socket buffer. The home now handles it and asks the witness for a grant.
  await waitUntil('the home handled the request', async () => (await refusals()) > refusedBefore);
  const repeat = await deployment.send(entry, key, 'paused');
  expect([repeat.outcome, repeat.code]).toEqual(['not-run', 'witness-refused']);
  expect(await deployment.runs('paused')).toEqual(0);
});

// Guards against a run on a late grant by a witness that resumes after the request was refused as `not-run`.
test(
  'a request with a paused witness is refused as not-run and does not run later',
  TIMEOUT,
  async () => {
    const key = await deployment.createKey(home, witness, 'witness');
    witness.process.child.kill('SIGSTOP');
    const answer = await deployment.send(entry, key, 'witness');
    witness.process.child.kill('SIGCONT');
    expect([answer.outcome, answer.code]).toEqual(['not-run', 'witness-silent']);
    await waitUntil('the witness answers', async () => {
      const fresh = await deployment.createKey(
        home,
        witness,
        `after-${Math.random()}`.replace('.', ''),
      );
      return (await deployment.send(entry, fresh, 'fresh')).outcome === 'answered';
    });
    const repeat = await deployment.send(entry, key, 'witness');
    expect(repeat.outcome).toEqual('not-run');
    expect(await deployment.runs('witness')).toEqual(0);
  },
);

test('a home killed before the dispatch: not-run, also for a repeat', TIMEOUT, async () => {
  const key = await deployment.createKey(killedBefore, witness, 'before');
  killedBefore.process.child.kill('SIGSTOP');
  const answer = deployment.send(entry, key, 'before');
  killedBefore.process.child.kill('SIGKILL');
  expect((await answer).outcome).toEqual('not-run');
  const repeat = await deployment.send(home, key, 'before');
  expect([repeat.outcome, repeat.code]).toEqual(['not-run', 'home-silent']);
  expect(await deployment.runs('before')).toEqual(0);
});

// Guards against a request that a worker has received and that is refused as `not-run` or dispatched again.
test(
  'a home killed after the dispatch: unknown, also for a repeat, and a single run',
  TIMEOUT,
  async () => {
    const key = await deployment.createKey(killedAfter, witness, 'after');
    await deployment.setAnswerLatencyMs(5000);
    const answer = deployment.send(entry, key, 'after');
    await waitUntil('the request runs', async () => (await deployment.runs('after')) === 1);
    killedAfter.process.child.kill('SIGKILL');
    expect((await answer).outcome).toEqual('unknown');
    await deployment.setAnswerLatencyMs(0);
    const repeat = await deployment.send(home, key, 'after');
    expect([repeat.outcome, repeat.code]).toEqual(['unknown', 'home-silent']);
    expect(await deployment.runs('after')).toEqual(1);
  },
);

// Guards against request handling that depends on the platform.
test('keyed requests and repeats are answered during a platform outage', TIMEOUT, async () => {
  deployment.platform.process.child.kill('SIGKILL');
  const key = await deployment.createKey(home, witness, 'outage');
  const first = await deployment.send(entry, key, 'outage');
  const repeat = await deployment.send(witness, key, 'outage');
  expect([first.outcome, repeat.outcome, repeat.repeated]).toEqual(['answered', 'answered', true]);
  expect(await deployment.runs('outage')).toEqual(1);
  for (const node of [home, witness, entry]) {
    expect(await deployment.metric(node, 'hyssoppulley_invariant_violations_total{')).toEqual(0);
  }
});
