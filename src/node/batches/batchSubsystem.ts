import type { BatchRecord } from '../../gen/hyssoppulley/v1/batch_pb.ts';
import { type Clock, sleep } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import type { Random } from '../../shared/random.ts';
import type { BatchCaller } from '../decisions/accounts/batchOwnership.ts';
import type { GatewayAdapter } from '../gateway/adapter.ts';
import type { Forwarder } from '../gateway/forwarder.ts';
import type { GatewayRoute } from '../gateway/gatewayTables.ts';
import type { TablesFollower } from '../gateway/tablesFollower.ts';
import type { WorkerRegistry } from '../gateway/workerRegistry.ts';
import type { RequestPermits } from '../limits/requestPermits.ts';
import type { PeerClients } from '../membership/peerClients.ts';
import type { Logger } from '../observability/logger.ts';
import type { Metrics } from '../observability/metrics.ts';
import { backoffMs } from '../platform/backoff.ts';
import { ObjectFollower } from '../platform/objectFollower.ts';
import type { PlatformObjects } from '../platform/platformClient.ts';
import type { PoisonGuard } from '../poison/poisonGuard.ts';
import type { PlatformHealth } from '../platform/platformHealth.ts';
import type { RequestLimits } from '../decisions/requestLimits.ts';
import { preferredEntries } from '../decisions/preferredEntries.ts';
import { type AcceptResult, BatchAcceptor, type BatchSubmission } from './batchAcceptor.ts';
import {
  BatchCoordinator,
  type BatchCoordinatorOptions,
  type PublishedWeights,
} from './batchCoordinator.ts';
import { BatchReader, type BatchRead, type ItemRead } from './batchReader.ts';
import {
  acceptViaPeer,
  endBatch,
  type EndResult,
  releaseFormerDispatcher,
} from './batchService.ts';
import type { DispatcherDemand } from './batchDemand.ts';
import { BATCHES_PREFIX, tryDecodeBatch } from './batchObjects.ts';
import { OPEN_BATCHES_BACKOFF } from './constants.ts';
import type { ElectionView } from '../election/holderElection.ts';
import { ContentMemory } from './contents/contentMemory.ts';
import { PartCache } from './contents/partCache.ts';
import { freeBodies } from './contents/storedPart.ts';
import { dispatcherLease } from './dispatcherElection.ts';
import { FullPools } from './fullPools.ts';
import { ItemScorer } from './itemScorer.ts';

export interface BatchSubsystemOptions {
  readonly platform: PlatformObjects;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly view: ElectionView;
  /** Whether this node has lost its connection to the platform. */
  readonly health: Pick<PlatformHealth, 'lost'>;
  readonly registry: WorkerRegistry;
  readonly tables: TablesFollower;
  readonly forwarder: Forwarder;
  readonly adapter: Pick<GatewayAdapter, 'generationCalls' | 'orderCalls' | 'publishedVersions'>;
  readonly limits: RequestLimits;
  readonly permits: RequestPermits;
  readonly poison: PoisonGuard;
  readonly peerClients: PeerClients;
  readonly maxValueBytes: number;
  /** Bounds what batches make this node hold. @default unbounded */
  readonly contentMemory?: ContentMemory;
  readonly maxLoading?: number;
  readonly retentionMs: number;
  readonly unreadRetentionMs: number;
  readonly orderRules: BatchCoordinatorOptions['orderRules'];
  /** Long-poll time of calls for published weight versions, in ms. */
  readonly weightsLongPollMs: number;
}

/** Batch functions of a node: accepts, dispatches, reads and ends batches. */
export class BatchSubsystem implements AsyncDisposable {
  readonly #options: BatchSubsystemOptions;

  readonly #memory: ContentMemory;

  readonly #parts: PartCache;

  readonly #acceptor: BatchAcceptor;

  readonly #reader: BatchReader;

  readonly #scorer: ItemScorer;

  /** Coordinators by pool. */
  readonly #coordinators = new Map<string, BatchCoordinator>();

  /** Whether this node has had tables since its start. */
  #hasTables = false;

  readonly #disposed = new AbortController();

  readonly #fullPools: FullPools;

  constructor(options: BatchSubsystemOptions) {
    this.#options = options;
    const { clock, logger, platform, forwarder, tables, view, peerClients } = options;
    this.#fullPools = new FullPools(clock);
    this.#memory = options.contentMemory ?? new ContentMemory(() => Infinity);
    this.#parts = new PartCache(platform, this.#memory);
    this.#memory.add(this.#parts);
    this.#acceptor = new BatchAcceptor({
      ...options,
      parts: this.#parts,
      dispatches: (pool) => this.#coordinators.get(pool)?.dispatcher !== undefined,
    });
    this.#scorer = new ItemScorer({
      ...{ clock, logger, forwarder },
      findRoute: (host, path) => tables.routes.find(host, path),
    });
    this.#reader = new BatchReader({
      ...{ clock, logger, platform, parts: this.#parts },
      coordinators: () => this.coordinators(),
      incarnation: view.self.incarnation,
      client: (address) => peerClients.batch(address),
    });
  }

  coordinators(): BatchCoordinator[] {
    return [...this.#coordinators.values()];
  }

  /** Lease names, as announced in heartbeats, of the pools that this node dispatches. */
  heldLeases(): string[] {
    return this.coordinators().flatMap(({ pool, election: { heldTerm } }) =>
      heldTerm === undefined ? [] : [dispatcherLease(pool, heldTerm)],
    );
  }

  /** Demand of the pools that this node dispatches. */
  demands(): DispatcherDemand[] {
    return this.coordinators().flatMap(({ dispatcher }) => dispatcher?.demand() ?? []);
  }

  /** Joins the dispatcher election of every pool that a batch route leads to. */
  tablesChanged(): void {
    for (const pool of this.#routedPools()) this.#join(pool);
    if (!this.#hasTables) void this.#joinPoolsOfOpenBatches();
    this.#hasTables = true;
    for (const { dispatcher } of this.coordinators()) dispatcher?.schedule();
  }

  workersChanged(): void {
    for (const coordinator of this.coordinators()) coordinator.workersChanged();
  }

  /** Accepts a batch, or submits it through another node when this node has lost the platform or must refuse it. */
  async submit(submission: BatchSubmission, route: GatewayRoute): Promise<AcceptResult> {
    const { health } = this.#options;
    if (!health.lost) {
      const result = await this.#accept(submission, route);
      if (result.kind !== 'refused') return result;
    }
    return this.#submitViaPeer(submission, route);
  }

  /**
   * Outcome of a submission to a pool whose dispatcher has no memory for the items of further batches.
   *
   * @returns undefined if the submission may be accepted
   */
  async refuseIfFull(
    submission: Pick<BatchSubmission, 'id' | 'account'>,
    route: GatewayRoute,
  ): Promise<AcceptResult | undefined> {
    const pool = route.pools[0]?.pool ?? '';
    const isFull = this.#coordinators.get(pool)?.isFull === true || this.#fullPools.has(pool);
    if (!isFull) return undefined;
    const { logger } = this.#options;
    try {
      // A repeated submission of an accepted batch must not be told that nothing of it runs.
      const known = await this.#acceptor.findAccepted(submission);
      const outcome = known?.kind ?? 'refused';
      logger.info('batch-pool-full', { batch: submission.id, pool, outcome });
      return known ?? { kind: 'refused', reason: 'the dispatcher has no memory for the items' };
    } catch (error) {
      logger.info('batch-pool-full', { batch: submission.id, pool, message: messageOf(error) });
      return undefined;
    }
  }

  /** Accepts a batch that another node received. */
  acceptForPeer(submission: BatchSubmission): Promise<AcceptResult> {
    const path = submission.path.split('?', 1)[0] ?? '/';
    const route = this.#options.tables.routes.find(submission.host, path);
    if (route?.kind === 'batch') return this.#accept(submission, route);
    return Promise.resolve({
      kind: 'refused',
      reason: 'no batch route for this host and path on the accepting node',
    });
  }

  read(...read: Parameters<BatchReader['read']>): Promise<BatchRead> {
    return this.#reader.read(...read);
  }

  readItem(...read: Parameters<BatchReader['readItem']>): Promise<ItemRead> {
    return this.#reader.readItem(...read);
  }

  end(batchId: string, caller: BatchCaller): Promise<EndResult> {
    return endBatch(batchId, {
      ...this.#options,
      caller,
      onEnded: ({ pool }) => this.#notifyDispatcher(pool, batchId, true),
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#disposed.abort();
    await Promise.all(this.coordinators().map((each) => each[Symbol.asyncDispose]()));
  }

  async #accept(submission: BatchSubmission, route: GatewayRoute): Promise<AcceptResult> {
    const result = await this.#acceptor.accept(submission, route);
    if (result.kind === 'accepted') {
      this.#notifyDispatcher(route.pools[0]?.pool ?? '', submission.id, false);
    }
    return result;
  }

  async #submitViaPeer(submission: BatchSubmission, route: GatewayRoute): Promise<AcceptResult> {
    const { view, peerClients, logger, random } = this.#options;
    const candidates = view
      .peers()
      .filter((peer) => !peer.suspected && !peer.leaving && !peer.platformLost)
      .map(({ identity }) => identity);
    const preferred = preferredEntries(candidates);
    const peer = preferred[Math.floor(random() * preferred.length)];
    // No other node is available, so the batch is submitted from here.
    if (peer === undefined) return this.#accept(submission, route);
    const result = await acceptViaPeer(peerClients.batch(peer), submission);
    if (result.kind === 'accepted') freeBodies(submission.items);
    logger.info('batch-submitted-via-peer', {
      batch: submission.id,
      peer: peer.name,
      outcome: result.kind,
      reason: result.kind === 'accepted' ? undefined : result.reason,
    });
    return result;
  }

  /** Notifies a pool's dispatcher that a batch was accepted or ended. */
  #notifyDispatcher(pool: string, batchId: string, ended: boolean): void {
    const { logger, peerClients, view } = this.#options;
    const coordinator = this.#coordinators.get(pool);
    const holder = coordinator?.election.holder;
    if (holder === undefined || holder.incarnation === view.self.incarnation) {
      coordinator?.batchChanged(batchId, ended);
      return;
    }
    peerClients
      .batch(holder)
      .batchChanged({ pool, batchId, ended })
      .then(({ full }) => this.#fullPools.record(pool, full))
      .catch((error: unknown) =>
        logger.info('dispatcher-notification-failed', {
          batch: batchId,
          message: messageOf(error),
        }),
      );
  }

  /** Pools that batch routes of the tables in force lead to. */
  #routedPools(): Set<string> {
    const routes = this.#options.tables.tables?.routes ?? [];
    return new Set(
      routes
        .filter(({ kind }) => kind === 'batch')
        .flatMap(({ pools }) => pools.map(({ pool }) => pool)),
    );
  }

  /** Pool that the route of a batch leads to now; undefined if there is no such route any more. */
  #routedPoolOf({ host, path }: BatchRecord): string | undefined {
    const route = this.#options.tables.routes.find(host, path.split('?', 1)[0] ?? '/');
    return route?.kind === 'batch' ? route.pools[0]?.pool : undefined;
  }

  /**
   * Joins the dispatcher election of a pool.
   *
   * @param openBatch - a batch because of which the pool is joined, although no route may lead there any more
   */
  #join(pool: string, openBatch?: string): void {
    if (this.#coordinators.has(pool) || this.#disposed.signal.aborted) return;
    this.#options.logger.info('pool-joined', { pool, openBatch });
    // Only the dispatchers of other pools see the batches of a pool without a route.
    const yieldsToPreferred = openBatch === undefined;
    this.#coordinators.set(pool, this.#newCoordinator(pool, yieldsToPreferred));
  }

  /** Joins the pools of open batches if no batch route leads to any pool, whose dispatcher would see these batches. */
  async #joinPoolsOfOpenBatches(): Promise<void> {
    const { platform, clock, random, logger } = this.#options;
    const { signal } = this.#disposed;
    for (let attempt = 1; this.#coordinators.size === 0 && !signal.aborted; attempt += 1) {
      try {
        for (const object of await platform.list(BATCHES_PREFIX)) {
          const record = tryDecodeBatch(object, logger);
          if (record?.endedAtMs === 0n) this.#join(record.pool, record.id);
        }
        return;
      } catch (error) {
        logger.info('open-batches-unread', { message: messageOf(error) });
        await sleep(clock, backoffMs(attempt, random, OPEN_BATCHES_BACKOFF), signal);
      }
    }
  }

  #newCoordinator(pool: string, yieldsToPreferred: boolean): BatchCoordinator {
    const { tables, adapter, peerClients, logger } = this.#options;
    return new BatchCoordinator({
      ...this.#options,
      ...{ pool, yieldsToPreferred },
      routedPoolOf: (record) => this.#routedPoolOf(record),
      isRouted: (other) => this.#routedPools().has(other),
      onOtherOpenBatch: (record) => this.#join(record.pool, record.id),
      tables: () => tables.tables,
      generations: adapter.generationCalls,
      orders: adapter.orderCalls,
      scorer: this.#scorer,
      ...{ memory: this.#memory, parts: this.#parts },
      followWeights: (onChange) => this.#followWeights(onChange),
      release: (former, term) =>
        releaseFormerDispatcher(
          (address) => peerClients.batch(address),
          former,
          { pool, term },
          logger,
        ),
    });
  }

  #followWeights(onChange: () => void): PublishedWeights & Disposable {
    const { platform, clock, random, logger, adapter, weightsLongPollMs } = this.#options;
    const newest = new Map<string, number>();
    const { prefix, decode } = adapter.publishedVersions;
    const follower = new ObjectFollower({
      ...{ platform, clock, random, logger, prefix },
      waitMs: () => weightsLongPollMs,
      onEvent: ({ type, object }) => {
        const published = type === 'written' ? decode(object) : undefined;
        if (published === undefined || published.version <= (newest.get(published.model) ?? 0)) {
          return;
        }
        newest.set(published.model, published.version);
        logger.info('weights-published', { ...published });
        onChange();
      },
    });
    void follower.start();
    return {
      newest: (model) => newest.get(model) ?? 0,
      [Symbol.dispose]: () => follower[Symbol.dispose](),
    };
  }
}
