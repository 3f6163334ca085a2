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
import type { GatewayTables } from '../../gateway/gatewayTables.ts';
import { type RegisteredWorker, WorkerRegistry } from '../../gateway/workerRegistry.ts';
import { silentLogger } from '../../observability/logger.ts';
import { createMetrics } from '../../observability/metrics.ts';
import type { BatchAcceptor } from '../batchAcceptor.ts';
import { BatchCoordinator } from '../batchCoordinator.ts';
import {
  batchKey,
  dispatcherKey,
  encodeBatch,
  encodeDispatcher,
  encodeItems,
  itemsKey,
} from '../batchObjects.ts';
import type { GenerationEnd } from '../generationCalls.ts';
import type { ItemScorer } from '../itemScorer.ts';
import { HeldPlatform } from './heldPlatform.ts';

const POOL = 'p';

const WORKER: RegisteredWorker = {
  ...{ id: 'w', pool: POOL, address: '127.0.0.1:1', availabilityZone: 'z', slots: 8 },
  ...{ draining: false, startedAtMs: 1, heartbeatCount: 1, models: [{ name: 'm', version: 1 }] },
};

/** One node with the coordinator of one pool and one worker, whose runs never end. */
export class CoordinatorHarness implements AsyncDisposable {
  readonly clock = new VirtualClock();

  readonly platform = new HeldPlatform();

  /** Ids of the items whose runs have started. */
  readonly started: string[] = [];

  readonly #coordinator: BatchCoordinator;

  constructor() {
    const common = {
      ...{ clock: this.clock, platform: this.platform, logger: silentLogger },
      random: seededRandom(1),
    };
    const registry = new WorkerRegistry({ ...common, decode: () => WORKER, onChange: () => {} });
    registry.applyEvent({
      type: 'written',
      object: { key: 'servers/w', version: 1, operationId: '', value: {} },
    });
    const tables = {
      pools: new Map([
        [POOL, { engine: { slots: 8, cacheTokens: 1e6, tokensPerEvent: 1, models: ['m'] } }],
      ]),
    } as unknown as GatewayTables;
    this.#coordinator = new BatchCoordinator({
      ...common,
      ...{ pool: POOL, registry, limits: new RequestLimits(), metrics: createMetrics() },
      view: {
        self: create(NodeIdentitySchema, {
          ...{ name: 'n', incarnation: 'n-1', capacityMillicores: 675 },
        }),
        leaving: false,
        peers: () => [],
      },
      health: { lost: false },
      tables: () => tables,
      permits: {
        obtain: () => Promise.resolve({ permits: [], retryAfterMs: 0, issuer: undefined }),
      },
      generations: {
        generate: (_worker, { requestId }) => {
          this.started.push(requestId);
          return new Promise<GenerationEnd>(() => {});
        },
      },
      orders: {
        order: () => Promise.resolve('refused'),
        report: () => Promise.resolve(undefined),
      },
      scorer: {} as ItemScorer,
      acceptor: { itemsOf: () => undefined } as unknown as BatchAcceptor,
      followWeights: () => ({ newest: () => 1, [Symbol.dispose]() {} }),
      orderRules: { fenced: true, leaseMs: 3000 },
      retentionMs: 120_000,
      release: () => Promise.resolve([]),
    });
  }

  /** Stores a record by which another node, which has ended since, dispatched the pool. */
  async addFormerDispatcher(): Promise<void> {
    const former = create(DispatcherRecordSchema, { node: 'former', incarnation: 'f', term: 1 });
    await this.platform.write(dispatcherKey(POOL), encodeDispatcher(former));
  }

  /** Stores an accepted batch of one item, `ID-item`. */
  async addBatch(id: string): Promise<BatchRecord> {
    const record = create(BatchRecordSchema, {
      ...{ id, pool: POOL, model: 'm', itemCount: 1, partCount: 1, maxAttempts: 3 },
      submittedAtMs: BigInt(this.clock.nowMs()),
    });
    const item = create(BatchItemSchema, { id: `${id}-item`, group: 'g' });
    await this.platform.write(itemsKey(id, 0), encodeItems([item]));
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
    await this.#coordinator[Symbol.asyncDispose]();
  }
}
