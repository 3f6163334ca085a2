import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import {
  IssuePermitsRequestSchema,
  IssuePermitsResponseSchema,
} from '../../../gen/hyssoppulley/v1/permit_pb.ts';
import { type NodeIdentity, NodeIdentitySchema } from '../../../gen/hyssoppulley/v1/peer_pb.ts';
import { type Random, seededRandom } from '../../../shared/random.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { RequestLimits } from '../../decisions/requestLimits.ts';
import type { RegisteredWorker } from '../../gateway/workerRegistry.ts';
import type { Peer } from '../../membership/membershipView.ts';
import { silentLogger } from '../../observability/logger.ts';
import { createMetrics } from '../../observability/metrics.ts';
import { RequestPermits } from '../requestPermits.ts';

const WORKERS = ['w1', 'w2'].map((id) => ({ id }) as RegisteredWorker);

interface FleetNode {
  readonly identity: NodeIdentity;
  readonly limits: RequestLimits;
  permits: RequestPermits;
  /** Whether the node answers others. */
  reachable: boolean;
  /** Whether the others suspect the node. */
  suspected: boolean;
}

/** Nodes that ask each other for permits to send requests to two workers with a limit. */
class Fleet {
  readonly clock = new VirtualClock();

  readonly nodes: FleetNode[] = [];

  /** When requests reached each worker, in ms. */
  readonly sentMs = new Map<string, number[]>(WORKERS.map(({ id }) => [id, []]));

  readonly #random: Random;

  constructor(size: number, seed: number) {
    this.#random = seededRandom(seed);
    for (let index = 0; index < size; index += 1) this.addNode();
  }

  addNode(): FleetNode {
    const name = `n${this.nodes.length}`;
    const identity = create(NodeIdentitySchema, { name, incarnation: name });
    const node = { identity, limits: new RequestLimits(), reachable: true, suspected: false };
    const started = { ...node, permits: this.#permitsOf(node) };
    this.nodes.push(started);
    return started;
  }

  /** Replaces the process of a node, which forgets what it issued and learned. */
  restart(node: FleetNode): void {
    const index = this.nodes.indexOf(node);
    const fresh = { ...node, limits: new RequestLimits() };
    this.nodes[index] = { ...fresh, permits: this.#permitsOf(fresh) };
  }

  /** A request at a random node: it asks for a permit where the node knows a limit, and learns the limit from the answer. */
  async request(perSecond: number | undefined, maxDelayMs: number): Promise<boolean> {
    const live = this.nodes.filter(({ reachable }) => reachable);
    const node = live[Math.floor(this.#random() * live.length)];
    if (node === undefined) return false;
    const chosen = WORKERS[Math.floor(this.#random() * WORKERS.length)] ?? WORKERS[0];
    let worker = chosen?.id ?? '';
    if (node.limits.of(worker) !== undefined) {
      const limited = WORKERS.filter(({ id }) => node.limits.of(id) !== undefined);
      const grant = await node.permits.obtain({ pool: 'p', workers: limited, maxDelayMs });
      const [permit] = grant.permits;
      if (permit === undefined) return false;
      worker = permit.worker;
      this.clock.schedule(permit.delayMs, () => this.#arrive(node, worker, perSecond));
      return true;
    }
    this.#arrive(node, worker, perSecond);
    return true;
  }

  /** Sends requests at a steady rate. Returns how many were sent to a worker. */
  async load(rate: { perSecond: number; limit: number | undefined; forMs: number }) {
    const stepMs = 5;
    let sent = 0;
    let due = 0;
    for (let atMs = 0; atMs < rate.forMs; atMs += stepMs) {
      due += (rate.perSecond * stepMs) / 1000;
      for (; due >= 1; due -= 1) if (await this.request(rate.limit, 0)) sent += 1;
      this.clock.advance(stepMs);
    }
    return sent;
  }

  /** Largest number of requests that one worker got in 4 s, from a time on. */
  busiest(fromMs: number): number {
    const windows = [...this.sentMs.values()].flatMap((times) =>
      times
        .filter((ms) => ms >= fromMs)
        .map((ms) => times.filter((other) => other >= ms && other < ms + 4000).length),
    );
    return Math.max(0, ...windows);
  }

  #arrive(node: FleetNode, worker: string, perSecond: number | undefined): void {
    const nowMs = this.clock.monotonicMs();
    this.sentMs.get(worker)?.push(nowMs);
    const change = node.limits.recordAnswer(worker, perSecond, nowMs);
    if (change === 'named') void node.permits.reportUnpermitted(worker);
  }

  #permitsOf({ identity, limits }: Pick<FleetNode, 'identity' | 'limits'>): RequestPermits {
    const peers = () =>
      this.nodes
        .filter((node) => node.identity !== identity)
        .map(
          (node) =>
            ({ identity: node.identity, suspected: node.suspected, leaving: false }) as Peer,
        );
    return new RequestPermits({
      ...{ clock: this.clock, logger: silentLogger, metrics: createMetrics(), limits },
      registry: {
        usable: () => WORKERS,
        find: (id) => ({ ...WORKERS[0], id, pool: 'p' }) as RegisteredWorker,
      },
      view: { self: identity, leaving: false, peers },
      call: (target, request) => {
        const node = this.nodes.find((each) => each.identity === target);
        if (node === undefined || !node.reachable) return Promise.reject(new Error('no answer'));
        const response = node.permits.issue(create(IssuePermitsRequestSchema, request));
        return Promise.resolve(create(IssuePermitsResponseSchema, response));
      },
    });
  }
}

const LIMIT = 10;
const ALLOWED = 1.5 * LIMIT * 4 + 5;

/** Time after which each node has certainly received an answer with the limit, in ms. */
const LEARNED_MS = 1000;

for (const size of [1, 8, 60]) {
  test(`${size} nodes together keep the limit of a worker and use it up`, async () => {
    const fleet = new Fleet(size, 1);
    await fleet.load({ perSecond: 100, limit: LIMIT, forMs: LEARNED_MS });
    const sent = await fleet.load({ perSecond: 100, limit: LIMIT, forMs: 10_000 });
    expect(fleet.busiest(LEARNED_MS)).toBeLessThanOrEqual(ALLOWED);
    expect(sent).toBeGreaterThanOrEqual(0.9 * LIMIT * WORKERS.length * 10);
  });
}

test('nodes that start, restart and stop answering by turns do not take a worker over its limit', async () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const fleet = new Fleet(8, seed);
    const random = seededRandom(seed);
    await fleet.load({ perSecond: 100, limit: LIMIT, forMs: LEARNED_MS });
    for (let step = 0; step < 10; step += 1) {
      const node = fleet.nodes[Math.floor(random() * fleet.nodes.length)];
      const event = Math.floor(random() * 4);
      if (node !== undefined && event === 0) fleet.restart(node);
      else if (node !== undefined && event === 1) node.reachable = !node.reachable;
      else if (node !== undefined && event === 2) node.suspected = !node.reachable;
      else if (fleet.nodes.length < 12) fleet.addNode();
      await fleet.load({ perSecond: 100, limit: LIMIT, forMs: 1000 });
    }
    expect(fleet.busiest(LEARNED_MS)).toBeLessThanOrEqual(ALLOWED);
  }
});

test('requests are still served while the issuing node does not answer, by a stand-in', async () => {
  const fleet = new Fleet(8, 3);
  await fleet.load({ perSecond: 100, limit: LIMIT, forMs: LEARNED_MS });
  const { issuer } = (await fleet.nodes[0]?.permits.obtain({
    ...{ pool: 'p', workers: WORKERS, maxDelayMs: 0 },
  })) ?? { issuer: undefined };
  const node = fleet.nodes.find(({ identity }) => identity.name === issuer);
  if (node !== undefined) node.reachable = false;
  const sent = await fleet.load({ perSecond: 100, limit: LIMIT, forMs: 4000 });
  expect(sent).toBeGreaterThanOrEqual(0.2 * LIMIT * WORKERS.length * 4);
  expect(fleet.busiest(LEARNED_MS)).toBeLessThanOrEqual(ALLOWED);
});

test('a worker that no longer names a limit gets all requests again', async () => {
  const fleet = new Fleet(8, 4);
  await fleet.load({ perSecond: 100, limit: LIMIT, forMs: 3000 });
  await fleet.load({ perSecond: 100, limit: undefined, forMs: 3000 });
  const sent = await fleet.load({ perSecond: 100, limit: undefined, forMs: 1000 });
  expect(sent).toBeGreaterThanOrEqual(99);
});
