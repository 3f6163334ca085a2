import { create } from '@bufbuild/protobuf';
import { InMemoryPlatform } from '../../../../playground/inMemoryPlatform.ts';
import { type NodeIdentity, NodeIdentitySchema } from '../../../gen/hyssoppulley/v1/peer_pb.ts';
import { sleep } from '../../../shared/clock.ts';
import { type Random, seededRandom } from '../../../shared/random.ts';
import { repeatEvery } from '../../../shared/repeat.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { WorkerCallError } from '../../dataPath/workerHttpClient.ts';
import { RequestLimits } from '../../decisions/requestLimits.ts';
import { PausableClock } from '../../duties/__tests__/dutyHarness.ts';
import type { GatewayRoute } from '../../gateway/gatewayTables.ts';
import { RouteIndex } from '../../gateway/routeIndex.ts';
import { WorkerRegistry } from '../../gateway/workerRegistry.ts';
import type { PeerAddress } from '../../membership/peerClients.ts';
import type { Peer } from '../../membership/membershipView.ts';
import { type Logger, silentLogger } from '../../observability/logger.ts';
import { createMetrics } from '../../observability/metrics.ts';
import { BudgetedPlatformClient } from '../../platform/budgetedPlatformClient.ts';
import { PlatformHealth } from '../../platform/platformHealth.ts';
import { PoisonGuard } from '../../poison/poisonGuard.ts';
import { createBatchHandlers } from '../batchService.ts';
import { BatchSubsystem, type BatchSubsystemOptions } from '../batchSubsystem.ts';
import type { GenerationCalls } from '../generationCalls.ts';
import { BATCH_ROUTE } from './batchNodeHarness.ts';
import { ObjectHistory } from './objectHistory.ts';
import { type PlatformFaults, PlatformLink } from './platformLink.ts';

const WORKERS = 8;
const SLOTS = 8;
const EVENT_GAP_MS = 50;
const HEARTBEAT_INTERVAL_MS = 250;
const SUSPECT_AFTER_MS = 1200;
const REFUSED_CHECK_INTERVAL_MS = 100;
const VERIFICATION_INTERVAL_MS = 150;

/** Route of the scoring calls. */
const SCORING_ROUTE: GatewayRoute = {
  ...{ name: 's', host: 'h', pathPrefix: '/s/', kind: 'idempotent', maxAttempts: 3 },
  ...{ pools: [{ pool: 's', weight: 1 }], timeoutMs: 2000, priority: 0, targetLatencyMs: 100 },
  resumable: false,
};

const routesOf = (pool: string): GatewayRoute[] => [
  { ...BATCH_ROUTE, pools: [{ pool, weight: 1 }] },
  SCORING_ROUTE,
];

export interface WorkerFaults {
  /** Share of the runs that end early, as a broken stream does. */
  brokenRate: number;
}

/** What a node last heard of another one. */
interface Heard {
  readonly identity: NodeIdentity;
  readonly leaving: boolean;
  readonly platformLost: boolean;
  readonly leases: readonly string[];
  readonly atMs: number;
}

/** One run of a node's process. */
export interface ProcessRun {
  readonly identity: NodeIdentity;
  readonly clock: PausableClock;
  readonly link: PlatformLink;
  readonly health: PlatformHealth;
  readonly batches: BatchSubsystem;
  readonly heard: Map<string, Heard>;
  /** Ids of the items that workers run for this node, by the number of runs. */
  readonly running: Map<string, number>;
  /** Ids of the items whose scores this node waits for. */
  readonly scoring: Map<string, number>;
  ended: boolean;
  /** Whether its VM is gone, so that nothing refuses connections. */
  vmGone: boolean;
  leaving: boolean;
  /** Whether no other node is within its reach. */
  isolated: boolean;
  /** Whether it hears nothing of other nodes, while they hear of it. */
  deaf: boolean;
  readonly registry: WorkerRegistry;
  /** Pool to which the batch route leads in this node's tables. */
  routedPool: string;
}

const count = (counts: Map<string, number>, key: string, by: 1 | -1): void => {
  counts.set(key, (counts.get(key) ?? 0) + by);
};

export interface DeploymentOptions {
  readonly seed: number;
  readonly names: readonly string[];
  /** Number of events of an item's text. */
  readonly eventsOf: (itemId: string) => number;
  /**
   * Whether holders verify that they hold the pool, as they do before each order to a worker.
   *
   * @default false
   */
  readonly verifies?: boolean;
  /** @default no lines are written */
  readonly logger?: Logger | undefined;
}

/** The pools of a deployment. At first the batch route leads to the first one, and only that one has workers. */
export const POOLS = ['p', 'q'] as const;

type Pool = (typeof POOLS)[number];

/** Longest time until a node applies a change of the tables or of the workers, in ms. */
const MAX_CHANGE_DELAY_MS = 500;

const workerIdsOf = (pool: Pool): string[] =>
  Array.from({ length: WORKERS }, (_, index) => `${pool === POOLS[0] ? '' : `${pool}-`}w${index}`);

const poolOf = (worker: string): Pool => (worker.startsWith('q-') ? 'q' : 'p');

/** Nodes that share a platform and a pool of sound workers, in virtual time. */
export class DeploymentHarness implements AsyncDisposable {
  readonly clock = new VirtualClock();

  readonly platform = new InMemoryPlatform();

  readonly faults: PlatformFaults = { lossRate: 0, maxLatencyMs: 4 };

  readonly workerFaults: WorkerFaults = { brokenRate: 0 };

  /** Pool to which the batch route leads. */
  routedPool: Pool = POOLS[0];

  /** Pools whose workers run. */
  readonly #staffedPools = new Set<Pool>([POOLS[0]]);

  readonly #history = new ObjectHistory();

  readonly #options: DeploymentOptions;

  readonly #random: Random;

  /** Latest process of each node, by name. */
  readonly #processes = new Map<string, ProcessRun>();

  /** All processes, by port. */
  readonly #byPort = new Map<number, ProcessRun>();

  readonly #disposables: Disposable[] = [];

  constructor(options: DeploymentOptions) {
    this.#options = options;
    this.#random = seededRandom(options.seed);
    for (const name of options.names) this.start(name);
  }

  get processes(): ProcessRun[] {
    return [...this.#processes.values()];
  }

  process(name: string): ProcessRun {
    const found = this.#processes.get(name);
    if (found === undefined) throw new Error(`no node ${name}`);
    return found;
  }

  /** Starts a node's process; one that runs is ended first. */
  start(name: string): void {
    const previous = this.#processes.get(name);
    if (previous !== undefined && !previous.ended) this.kill(name, false);
    const port = this.#byPort.size + 1;
    const identity = create(NodeIdentitySchema, {
      ...{ name, incarnation: `${name}-${port}`, host: name, peerPort: port },
      capacityMillicores: 675,
    });
    const started = this.#createProcess(identity);
    this.#processes.set(name, started);
    this.#byPort.set(port, started);
    started.batches.tablesChanged();
    const beat = () => this.#sendHeartbeats(started);
    if (this.#options.verifies === true) {
      const verify = () => {
        for (const { dispatcher, election } of started.batches.coordinators()) {
          if (dispatcher !== undefined) void election.verify();
        }
      };
      this.#disposables.push(repeatEvery(started.clock, VERIFICATION_INTERVAL_MS, verify));
    }
    this.#disposables.push(
      repeatEvery(started.clock, HEARTBEAT_INTERVAL_MS, beat, this.#random() * 100),
      repeatEvery(started.clock, 1000, async () => {
        await this.#clientOf(started)
          .read(`nodes/${name}`, { allowStale: true })
          .catch(() => {});
      }),
    );
  }

  /** @param vmGone - whether its VM no longer refuses connections */
  kill(name: string, vmGone: boolean): void {
    const run = this.process(name);
    run.clock.paused = true;
    run.ended = true;
    run.vmGone = vmGone;
    run.running.clear();
    run.scoring.clear();
  }

  pause(name: string): void {
    this.process(name).clock.paused = true;
  }

  resume(name: string): void {
    const run = this.process(name);
    if (!run.ended) run.clock.resume();
  }

  /** Ends a process in a planned stop: it announces that it leaves, then stops its work. */
  async stop(name: string): Promise<void> {
    const run = this.process(name);
    run.leaving = true;
    this.#sendHeartbeats(run);
    await sleep(run.clock, 2000);
    await run.batches[Symbol.asyncDispose]();
    if (this.process(name) === run) this.kill(name, false);
  }

  /** Lets the batch route lead to another pool, which gets workers if it has none. */
  moveRoute(pool: Pool): void {
    this.routedPool = pool;
    this.staff(pool, true);
    this.#changeSoon((process) => {
      Object.assign(process, { routedPool: this.routedPool });
      process.batches.tablesChanged();
    });
  }

  /** Starts or ends all workers of a pool. */
  staff(pool: Pool, isStaffed: boolean): void {
    if (this.#staffedPools.has(pool) === isStaffed) return;
    if (isStaffed) this.#staffedPools.add(pool);
    else this.#staffedPools.delete(pool);
    this.#changeSoon((process) => {
      this.#registerWorkers(process.registry, pool);
      process.batches.workersChanged();
    });
  }

  /** Whether a node that is in order runs or scores an item. */
  isServed(itemId: string): boolean {
    return this.processes.some(
      ({ ended, clock, running, scoring }) =>
        !ended &&
        !clock.paused &&
        ((running.get(itemId) ?? 0) > 0 || (scoring.get(itemId) ?? 0) > 0),
    );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const disposable of this.#disposables) disposable[Symbol.dispose]();
    for (const { batches, ended } of this.processes) {
      if (!ended) await batches[Symbol.asyncDispose]();
    }
  }

  #changeSoon(change: (process: ProcessRun) => void): void {
    for (const process of this.processes) {
      process.clock.schedule(this.#random() * MAX_CHANGE_DELAY_MS, () => {
        if (!process.ended) change(process);
      });
    }
  }

  /** Tells a node which workers of a pool run now. */
  #registerWorkers(registry: WorkerRegistry, pool: Pool): void {
    const type = this.#staffedPools.has(pool) ? 'written' : 'removed';
    for (const id of workerIdsOf(pool)) {
      const object = { key: `servers/${id}`, version: 1, operationId: '', value: {} };
      registry.applyEvent({ type, object });
    }
  }

  readonly #clients = new WeakMap<ProcessRun, BudgetedPlatformClient>();

  #clientOf(run: ProcessRun): BudgetedPlatformClient {
    const client = this.#clients.get(run);
    if (client === undefined) throw new Error('no client');
    return client;
  }

  #createProcess(identity: NodeIdentity): ProcessRun {
    const { clock: platformClock, platform, faults } = this;
    const { logger = silentLogger } = this.#options;
    const clock = new PausableClock(platformClock);
    const random = seededRandom(Math.floor(this.#random() * 1e9));
    const link = new PlatformLink({
      ...{ platform, faults, clock, platformClock, random, history: this.#history },
    });
    const health = new PlatformHealth(clock);
    const client = new BudgetedPlatformClient({
      ...{ platform: link, clock, random, health, callsPerSecond: 100 },
    });
    const common = { clock, random, logger, platform: client };
    const registry = new WorkerRegistry({
      ...common,
      decode: ({ key }) => ({
        ...{ id: key.slice('servers/'.length), pool: poolOf(key.slice('servers/'.length)) },
        address: '127.0.0.1:1',
        ...{ availabilityZone: 'z', slots: SLOTS, draining: false, startedAtMs: 1 },
        ...{ heartbeatCount: 1, models: [{ name: 'm', version: 1 }] },
      }),
      onChange: () => {},
    });
    for (const pool of this.#staffedPools) this.#registerWorkers(registry, pool);
    const engine = { slots: SLOTS, cacheTokens: 1e6, tokensPerEvent: 1, models: ['m'] };
    const run = { ended: false, vmGone: false, leaving: false, isolated: false, deaf: false };
    const process: ProcessRun = Object.assign(run, {
      ...{ identity, clock, link, health, heard: new Map<string, Heard>(), registry },
      routedPool: this.routedPool,
      ...{ running: new Map<string, number>(), scoring: new Map<string, number>() },
      batches: undefined as unknown as BatchSubsystem,
    });
    this.#clients.set(process, client);
    const batches = new BatchSubsystem({
      ...common,
      ...{ registry, health, limits: new RequestLimits(), metrics: createMetrics() },
      poison: new PoisonGuard({
        ...{ ...common, metrics: createMetrics(), hasEnded: () => Promise.resolve(false) },
      }),
      ...{ maxValueBytes: 100_000, retentionMs: 600_000, weightsLongPollMs: 1000 },
      unreadRetentionMs: 6_000_000,
      view: {
        self: identity,
        get leaving() {
          return process.leaving;
        },
        peers: () => this.#peersOf(process),
      },
      tables: {
        get tables() {
          const pools = new Map(POOLS.map((pool) => [pool, { engine }]));
          return { routes: routesOf(process.routedPool), pools };
        },
        get routes() {
          return new RouteIndex(routesOf(process.routedPool));
        },
      },
      permits: {
        obtain: () => Promise.resolve({ permits: [], retryAfterMs: 0, issuer: undefined }),
      },
      forwarder: {
        forward: async ({ id }: { id: string }) => {
          count(process.scoring, id, 1);
          await sleep(clock, 100);
          count(process.scoring, id, -1);
          return { kind: 'answer', statusCode: 200, stamp: 's', failures: 0 };
        },
      },
      adapter: {
        generationCalls: this.#generationCalls(process),
        orderCalls: {
          order: () => Promise.resolve('refused'),
          report: () => Promise.resolve(undefined),
        },
        publishedVersions: { prefix: 'versions/', decode: () => undefined },
      },
      peerClients: { batch: (address: PeerAddress) => this.#batchClient(process, address) },
      watchHolder: ({ peerPort }: { peerPort: number }, onRefused: () => void) =>
        repeatEvery(clock, REFUSED_CHECK_INTERVAL_MS, () => {
          const holder = this.#byPort.get(peerPort);
          const refuses = holder?.ended === true && !holder.vmGone;
          if (refuses && !process.isolated && !holder.isolated) onRefused();
        }),
      orderRules: { fenced: true, leaseMs: 3000 },
    } as unknown as BatchSubsystemOptions);
    return Object.assign(process, { batches });
  }

  /** Workers generate an event every `EVENT_GAP_MS`; a run belongs to the node's process. */
  #generationCalls(process: ProcessRun): GenerationCalls {
    const { clock, running } = process;
    return {
      generate: async ({ id: worker }, { requestId, resumeAfter = 0 }, listener, signal) => {
        const total = this.#options.eventsOf(requestId);
        const isBroken = this.#random() < this.workerFaults.brokenRate;
        // A second end at the same event would count as the end of the text.
        const left = Math.max(0, total - resumeAfter - 1);
        const breaksAfter = isBroken ? resumeAfter + 1 + Math.floor(this.#random() * left) : total;
        count(running, requestId, 1);
        try {
          await sleep(clock, 20, signal);
          if (signal.aborted) throw new WorkerCallError('aborted');
          listener.onResponseStart(1, undefined);
          for (let number = resumeAfter + 1; number <= total; number += 1) {
            await sleep(clock, EVENT_GAP_MS, signal);
            if (signal.aborted) throw new WorkerCallError('aborted');
            if (!this.#staffedPools.has(poolOf(worker))) throw new WorkerCallError('reset');
            if (number > breaksAfter) return { kind: 'uncertain' };
            listener.onEvent({ number, data: `${requestId}.${number}`, version: 1 });
          }
          return { kind: 'complete' };
        } finally {
          count(running, requestId, -1);
        }
      },
    };
  }

  #sendHeartbeats(sender: ProcessRun): void {
    if (sender.ended) return;
    for (const receiver of this.processes) {
      const isUnheard = receiver.isolated || receiver.deaf || sender.isolated;
      if (receiver === sender || isUnheard) continue;
      const heard = {
        ...{ identity: sender.identity, leaving: sender.leaving },
        ...{ platformLost: sender.health.lost, leases: sender.batches.heldLeases() },
      };
      receiver.clock.schedule(2 + this.#random() * 60, () => {
        const { name, peerPort } = sender.identity;
        if ((receiver.heard.get(name)?.identity.peerPort ?? 0) > peerPort) return;
        receiver.heard.set(name, { ...heard, atMs: receiver.clock.monotonicMs() });
      });
    }
  }

  // eslint-disable-next-line class-methods-use-this
  #peersOf({ heard, clock }: ProcessRun): Peer[] {
    return [...heard.values()].map(
      ({ atMs, ...peer }) =>
        ({ ...peer, suspected: clock.monotonicMs() - atMs > SUSPECT_AFTER_MS }) as unknown as Peer,
    );
  }

  /** Calls of one node at another. */
  #batchClient(caller: ProcessRun, { peerPort }: PeerAddress): unknown {
    const call =
      (method: string) =>
      async (request: unknown, { timeoutMs = 1000 }: { timeoutMs?: number } = {}) => {
        const callee = this.#byPort.get(peerPort);
        const timeout = sleep(caller.clock, timeoutMs).then(() => {
          throw new Error('no response');
        });
        timeout.catch(() => {});
        const isOut = callee === undefined || callee.vmGone || callee.isolated || caller.isolated;
        if (isOut) return timeout;
        const answer = async () => {
          if (callee.ended) throw new Error('connection refused');
          await sleep(callee.clock, 1 + this.#random() * 4);
          const handlers = createBatchHandlers(
            () => callee.batches.coordinators(),
            (submission) => callee.batches.acceptForPeer(submission),
          ) as Record<string, (value: unknown) => unknown>;
          const result = await handlers[method]?.(request);
          await sleep(caller.clock, 1 + this.#random() * 4);
          if (callee.isolated || caller.isolated) return timeout;
          return result;
        };
        return Promise.race([answer(), timeout]);
      };
    return Object.fromEntries(
      ['releasePool', 'batchChanged', 'readResults', 'acceptBatch'].map((name) => [
        name,
        call(name),
      ]),
    );
  }
}
