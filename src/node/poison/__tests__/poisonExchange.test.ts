import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import {
  ExchangeRequestSchema,
  ExchangeResponseSchema,
} from '../../../gen/hyssoppulley/v1/poison_pb.ts';
import { NodeIdentitySchema } from '../../../gen/hyssoppulley/v1/peer_pb.ts';
import { seededRandom } from '../../../shared/random.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { requestRetrialPauseMs } from '../../decisions/poisonRequests/retrialPause.ts';
import type { Peer } from '../../membership/membershipView.ts';
import { silentLogger } from '../../observability/logger.ts';
import { createMetrics } from '../../observability/metrics.ts';
import { PoisonExchange } from '../poisonExchange.ts';
import { PoisonGuard } from '../poisonGuard.ts';

const REQUEST = { id: 'r', method: 'POST', host: 'h', path: '/x', body: Buffer.from('body') };

const WORKER = { id: 'w', address: '127.0.0.1:1', startedAtMs: 1 };

/** Nodes of one deployment. `cut`: names of nodes that others do not reach. */
const startNodes = (names: readonly string[], cut = new Set<string>()) => {
  const clock = new VirtualClock();
  /** Numbers of requests in the messages sent. */
  const sent: number[] = [];
  const nodes = new Map<string, { guard: PoisonGuard; exchange: PoisonExchange }>();
  const add = (name: string) => {
    const common = { clock, logger: silentLogger };
    const guard = new PoisonGuard({
      ...common,
      metrics: createMetrics(),
      hasEnded: () => Promise.resolve(true),
    });
    const exchange = new PoisonExchange({
      ...{ ...common, guard, random: seededRandom(nodes.size + 1) },
      view: {
        self: create(NodeIdentitySchema, { name }),
        peers: () =>
          [...nodes.keys()]
            .filter((other) => other !== name)
            .map((other) => {
              const identity = create(NodeIdentitySchema, { name: other });
              return { identity, suspected: false, leaving: false } as Peer;
            }),
      },
      call: (target, message) => {
        sent.push(message.requests?.length ?? 0);
        const other = nodes.get(target.name);
        if (other === undefined || cut.has(target.name) || cut.has(name)) {
          return Promise.reject(new Error('no answer'));
        }
        const response = other.exchange.receive(create(ExchangeRequestSchema, message));
        return Promise.resolve(create(ExchangeResponseSchema, response));
      },
    });
    nodes.set(name, { guard, exchange });
    return guard;
  };
  for (const name of names) add(name);
  return {
    clock,
    add,
    sent,
    guardOf: (name: string) => nodes.get(name)?.guard,
    verdicts: () => [...nodes.values()].map(({ guard }) => guard.verdictOf({ ...REQUEST })),
    recordEnd: (name: string, id: string, trial: boolean, path = REQUEST.path) =>
      nodes.get(name)?.guard.recordBroken({
        ...{
          request: { ...REQUEST, path },
          worker: { ...WORKER, id },
          pool: 'p',
          trial,
          startedMs: clock.monotonicMs(),
          others: 0,
        },
      }),
  };
};

// Guards against a deadly request that ends more workers at each node that its caller comes back to.
test('all nodes know of a deadly request shortly after its worker ended', async () => {
  const { clock, verdicts, recordEnd } = startNodes(['a', 'b', 'c']);
  await recordEnd('a', 'w1', false);
  await recordEnd('a', 'w2', true);
  await clock.advanceAsync(50);
  expect(verdicts()).toEqual(['condemned', 'condemned', 'condemned']);
});

// Guards against nodes that were cut off or had not started when the news were sent, and never learn them.
test('a node that was cut off or has just started learns of a deadly request within seconds', async () => {
  const cut = new Set(['c']);
  const { clock, verdicts, recordEnd, add } = startNodes(['a', 'b', 'c'], cut);
  await recordEnd('a', 'w1', false);
  await recordEnd('b', 'w2', true);
  await clock.advanceAsync(2000);
  expect(verdicts()).toEqual(['condemned', 'condemned', 'unsuspected']);
  cut.clear();
  add('d');
  await clock.advanceAsync(3000);
  expect(verdicts()).toEqual(['condemned', 'condemned', 'condemned', 'condemned']);
});

// Guards against messages that all grow with what is remembered while many suspected requests are cleared one by one.
test('news are sent without what other nodes have been told before', async () => {
  const { clock, sent, recordEnd } = startNodes(['a', 'b']);
  for (let index = 0; index < 20; index += 1) await recordEnd('a', 'w1', false, `/x${index}`);
  await clock.advanceAsync(20);
  await recordEnd('a', 'w2', true, '/x0');
  await clock.advanceAsync(20);
  expect(sent).toEqual([20, 1]);
});

// Guards against ends that only a node behind a firewall saw and that condemn a request at nodes that answer it all the time.
test('ends that a cut-off node saw do not condemn a request that other nodes have answered since', async () => {
  const cut = new Set(['c']);
  const { clock, verdicts, recordEnd, guardOf } = startNodes(['a', 'b', 'c'], cut);
  for (const id of ['w1', 'w2', 'w3']) {
    await recordEnd('c', id, false);
    await clock.advanceAsync(1000);
    // Each copy stands for another caller's request, whose memory is used again after the answer.
    const body = Buffer.from(REQUEST.body);
    guardOf('b')?.recordAnswer({ ...REQUEST, body });
    body.fill(0);
  }
  expect(verdicts()).toEqual(['unsuspected', 'unsuspected', 'condemned']);
  cut.clear();
  await clock.advanceAsync(3000);
  expect(verdicts()).toEqual(['unsuspected', 'unsuspected', 'unsuspected']);
});

// Guards against a deadly request that is sent on because it was answered before workers ended under it.
test('ends that a cut-off node saw after an answer condemn the request everywhere', async () => {
  const cut = new Set(['c']);
  const { clock, verdicts, recordEnd, guardOf } = startNodes(['a', 'b', 'c'], cut);
  guardOf('b')?.recordAnswer({ ...REQUEST });
  guardOf('b')?.recordAnswer({ ...REQUEST, path: '/other' });
  for (const id of ['w1', 'w2', 'w3']) {
    await clock.advanceAsync(1000);
    await recordEnd('c', id, false);
    guardOf('b')?.recordAnswer({ ...REQUEST, path: '/other' });
  }
  cut.clear();
  await clock.advanceAsync(3000);
  expect(verdicts()).toEqual(['condemned', 'condemned', 'condemned']);
});

// Guards against a suspicion that an operator has cleared at one node and that other nodes keep or bring back.
test('a request that an operator clears at one node is sent to workers again at all nodes', async () => {
  const { clock, recordEnd, guardOf, verdicts } = startNodes(['a', 'b', 'c']);
  for (const id of ['w1', 'w2', 'w3']) {
    await recordEnd('a', id, false);
    await clock.advanceAsync(1000);
  }
  await clock.advanceAsync(4000);
  const [suspect] = guardOf('b')?.suspects() ?? [];
  expect(suspect?.verdict).toEqual('condemned');
  expect(guardOf('b')?.clear(suspect?.digest ?? '')).toEqual(true);
  await clock.advanceAsync(5000);
  expect(verdicts()).toEqual(['unsuspected', 'unsuspected', 'unsuspected']);
  expect(guardOf('a')?.clear('unknown')).toEqual(false);
});

// Guards against a hedged attempt that takes a second worker with it while the first one is probed (deadlyRequest.test.ts
// beside load: three workers ended instead of two).
test('a request whose worker is being probed is suspected, and no longer once the worker answers the probe', async () => {
  let endProbe: (hasEnded: boolean) => void = () => {};
  const guard = new PoisonGuard({
    ...{ clock: new VirtualClock(), logger: silentLogger, metrics: createMetrics() },
    hasEnded: () =>
      new Promise((resolve) => {
        endProbe = resolve;
      }),
  });
  const broken = {
    request: REQUEST,
    worker: WORKER,
    pool: 'p',
    trial: false,
    startedMs: 0,
    others: 0,
  };
  const recorded = guard.recordBroken(broken);
  expect(guard.verdictOf({ ...REQUEST })).toEqual('suspected');
  expect(guard.verdictOf({ ...REQUEST, path: '/other' })).toEqual('unsuspected');
  endProbe(false);
  expect(await recorded).toEqual(false);
  expect(guard.verdictOf({ ...REQUEST })).toEqual('unsuspected');
});

// Guards against a request that ends its workers and is tried again by many callers at once after the pause.
test('a request with a failed trial is tried again by one caller at a time', async () => {
  const { clock, guardOf, recordEnd } = startNodes(['a']);
  const guard = guardOf('a');
  await recordEnd('a', 'w1', false);
  await recordEnd('a', 'w2', true);
  await clock.advanceAsync(requestRetrialPauseMs(1));
  expect(guard?.verdictOf({ ...REQUEST })).toEqual('suspected');
  const startTrial = () => guard?.startTrial({ ...REQUEST }, 'p', 8, new AbortController().signal);
  using first = await startTrial();
  expect(first !== undefined).toEqual(true);
  expect(await startTrial()).toEqual(undefined);
  first?.[Symbol.dispose]();
  using second = await startTrial();
  expect(second !== undefined).toEqual(true);
});
