import { create } from '@bufbuild/protobuf';
import {
  BatchItemSchema,
  type BatchRecord,
  BatchRecordSchema,
  DispatcherRecordSchema,
} from '../../../gen/hyssoppulley/v1/batch_pb.ts';
import { NodeIdentitySchema } from '../../../gen/hyssoppulley/v1/peer_pb.ts';
import { seededRandom } from '../../../shared/random.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { RequestLimits } from '../../decisions/requestLimits.ts';
import type { GatewayAdapter } from '../../gateway/adapter.ts';
import { AccountIndex } from '../../decisions/accounts/accountIndex.ts';
import type { Account, GatewayRoute, GatewayTables } from '../../gateway/gatewayTables.ts';
import { RouteIndex } from '../../gateway/routeIndex.ts';
import type { TablesFollower } from '../../gateway/tablesFollower.ts';
import { type RegisteredWorker, WorkerRegistry } from '../../gateway/workerRegistry.ts';
import type { RequestPermits } from '../../limits/requestPermits.ts';
import { silentLogger } from '../../observability/logger.ts';
import { BudgetedPlatformClient } from '../../platform/budgetedPlatformClient.ts';
import { createMetrics } from '../../observability/metrics.ts';
import {
  batchKey,
  dispatcherKey,
  encodeBatch,
  encodeDispatcher,
  encodeItems,
  itemsKey,
} from '../batchObjects.ts';
import { PoisonGuard } from '../../poison/poisonGuard.ts';
import { ContentMemory } from '../contents/contentMemory.ts';
import { BatchSubsystem, type BatchSubsystemOptions } from '../batchSubsystem.ts';
import type { GenerationEnd } from '../generationCalls.ts';
import { HeldPlatform, MAX_VALUE_BYTES } from './heldPlatform.ts';

/** Pool to which the batch route leads. */
export const POOL = 'p';

/** Pool to which no route leads. */
export const UNROUTED_POOL = 'former';

/** Time for which results stay readable, in ms. */
export const RETENTION_MS = 120_000;

/** Time without a read after which a batch is abandoned, in ms. */
export const UNREAD_RETENTION_MS = 600_000;

const workerOf = (pool: string): RegisteredWorker => ({
  ...{ id: `w-${pool}`, pool, address: '127.0.0.1:1', availabilityZone: 'z', slots: 8 },
  ...{ draining: false, startedAtMs: 1, heartbeatCount: 1, models: [{ name: 'm', version: 1 }] },
});

export const BATCH_ROUTE: GatewayRoute = {
  ...{ name: 'r', host: 'h', pathPrefix: '/b/', kind: 'batch', maxAttempts: 3, timeoutMs: 1000 },
  ...{ pools: [{ pool: POOL, weight: 1 }], priority: 0, targetLatencyMs: 100, resumable: false },
};

/** What several nodes of a deployment share. */
export interface BatchNodeOptions {
  readonly platform?: HeldPlatform;
  readonly accounts?: readonly Account[];
  /** Call budget of the node. @default unlimited */
  readonly callsPerSecond?: number;
  /** Memory for the contents of batches, in bytes. @default unlimited */
  readonly roomBytes?: number;
}

/** One node, alone in its deployment, with a worker in each of two pools. The runs of the workers never end. */
export class BatchNodeHarness implements AsyncDisposable {
  readonly clock = new VirtualClock();

  readonly platform: HeldPlatform;

  /** Ids of the items whose runs have started. */
  readonly started: string[] = [];

  /** Pools of the workers on which each item was started, by item. */
  readonly poolsOf = new Map<string, string[]>();

  /** Names of the accounts that were sent with the items, by item. */
  readonly accountsSent = new Map<string, string | undefined>();

  readonly batches: BatchSubsystem;

  readonly #registry: WorkerRegistry;

  /**
   * @param routes - route table @default one batch route
   * @param options - platform that other nodes use too, and the client accounts of the tables
   */
  constructor(routes: readonly GatewayRoute[] = [BATCH_ROUTE], options: BatchNodeOptions = {}) {
    const { platform = new HeldPlatform(), accounts, callsPerSecond } = options;
    this.platform = platform;
    const { clock } = this;
    const random = seededRandom(1);
    const common = {
      ...{ clock, random, logger: silentLogger },
      platform:
        callsPerSecond === undefined
          ? platform
          : new BudgetedPlatformClient({ platform, clock, random, callsPerSecond }),
    };
    const registry = new WorkerRegistry({
      ...common,
      decode: ({ key }) => workerOf(key.slice('servers/w-'.length)),
      onChange: () => {},
    });
    this.#registry = registry;
    const engine = { slots: 8, cacheTokens: 1e6, tokensPerEvent: 1, models: ['m'] };
    const pools = new Map([POOL, UNROUTED_POOL].map((pool) => [pool, { engine }]));
    const tables = { routes, pools, accounts } as unknown as GatewayTables;
    this.batches = new BatchSubsystem({
      ...common,
      ...{ registry, limits: new RequestLimits(), metrics: createMetrics() },
      poison: new PoisonGuard({ ...common, metrics: createMetrics() }),
      ...{ maxValueBytes: MAX_VALUE_BYTES, retentionMs: RETENTION_MS, weightsLongPollMs: 1000 },
      unreadRetentionMs: UNREAD_RETENTION_MS,
      contentMemory: new ContentMemory(() => options.roomBytes ?? Infinity),
      view: {
        self: create(NodeIdentitySchema, {
          ...{ name: 'n', incarnation: 'n-1', capacityMillicores: 675 },
        }),
        leaving: false,
        peers: () => [],
      },
      health: { lost: false },
      tables: {
        ...{ tables, routes: new RouteIndex(routes) },
        accounts: accounts && new AccountIndex(accounts),
      } as TablesFollower,
      permits: {
        obtain: () => Promise.resolve({ permits: [], retryAfterMs: 0, issuer: undefined }),
      } as unknown as RequestPermits,
      adapter: {
        generationCalls: {
          generate: ({ id: worker }, { requestId, account }) => {
            this.started.push(requestId);
            const former = this.poolsOf.get(requestId) ?? [];
            this.poolsOf.set(requestId, [...former, worker.slice('w-'.length)]);
            this.accountsSent.set(requestId, account);
            return new Promise<GenerationEnd>(() => {});
          },
        },
        orderCalls: {
          order: () => Promise.resolve('refused'),
          report: () => Promise.resolve(undefined),
        },
        publishedVersions: { prefix: 'versions/', decode: () => undefined },
      } as Pick<GatewayAdapter, 'generationCalls' | 'orderCalls' | 'publishedVersions'>,
      orderRules: { fenced: true, leaseMs: 3000 },
    } as unknown as BatchSubsystemOptions);
    for (const pool of [POOL, UNROUTED_POOL]) this.addWorker(pool);
  }

  /** Starts the node's part in dispatching, as the first tables do. */
  start(): void {
    this.batches.tablesChanged();
  }

  /** Registers the worker of a pool. */
  addWorker(pool: string): void {
    const object = { key: `servers/w-${pool}`, version: 1, operationId: '', value: {} };
    this.#registry.applyEvent({ type: 'written', object });
    this.batches.workersChanged();
  }

  /** Removes the registration of a pool's worker, whose runs go on. */
  removeWorker(pool: string): void {
    const object = { key: `servers/w-${pool}`, version: 2, operationId: '', value: {} };
    this.#registry.applyEvent({ type: 'removed', object });
    this.batches.workersChanged();
  }

  /** Stores a record by which another node, which has ended since, dispatched the pool. */
  async addFormerDispatcher(): Promise<void> {
    const former = create(DispatcherRecordSchema, { node: 'former', incarnation: 'f', term: 1 });
    await this.platform.write(dispatcherKey(POOL), encodeDispatcher(former));
  }

  /** Stores an accepted batch whose first item is `ID-item`, in parts of the same number of items. */
  async addBatch(id: string, pool = POOL, itemCount = 1, partCount = 1): Promise<BatchRecord> {
    const record = create(BatchRecordSchema, {
      ...{ id, pool, host: 'h', path: `/b/${id}`, model: 'm' },
      ...{ itemCount, partCount, maxAttempts: 3 },
      submittedAtMs: BigInt(this.clock.nowMs()),
    });
    const items = Array.from({ length: itemCount }, (_, index) =>
      create(BatchItemSchema, { id: `${id}-item${index === 0 ? '' : index}`, group: `g${index}` }),
    );
    for (let part = 0; part < partCount; part += 1) {
      const ofPart = items.filter((_, index) => index % partCount === part);
      await this.platform.write(itemsKey(record, part), encodeItems(ofPart));
    }
    await this.platform.write(batchKey(id), encodeBatch(record));
    return record;
  }

  /** Marks a batch as ended, as the node does that a trainer asked for it. */
  async endBatch(record: BatchRecord): Promise<void> {
    const ended = { ...record, endedAtMs: BigInt(this.clock.nowMs()) };
    await this.platform.write(batchKey(record.id), encodeBatch(ended));
  }

  async removeBatch({ id }: BatchRecord): Promise<void> {
    await this.platform.remove(batchKey(id));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.batches[Symbol.asyncDispose]();
  }
}
