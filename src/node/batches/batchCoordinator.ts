import type {
  BatchRecord,
  DispatcherRecord,
  ItemProgress,
} from '../../gen/hyssoppulley/v1/batch_pb.ts';
import { type Clock, sleep, Stopwatch } from '../../shared/clock.ts';
import { DisposableStore } from '../../shared/disposableStore.ts';
import type { Random } from '../../shared/random.ts';
import { repeatEvery } from '../../shared/repeat.ts';
import { firstOrderDelayMs, type FirstOrderConditions } from '../decisions/firstOrderDelay.ts';
import type { RequestLimits } from '../decisions/requestLimits.ts';
import type { RequestPermits } from '../limits/requestPermits.ts';
import { type GatewayTables, hasAccounts } from '../gateway/gatewayTables.ts';
import type { WorkerRegistry } from '../gateway/workerRegistry.ts';
import type { Logger } from '../observability/logger.ts';
import type { Metrics } from '../observability/metrics.ts';
import { ObjectFollower } from '../platform/objectFollower.ts';
import type { PlatformEvent, PlatformObjects } from '../platform/platformClient.ts';
import type { PoisonGuard } from '../poison/poisonGuard.ts';
import type { PlatformHealth } from '../platform/platformHealth.ts';
import type { OrderCalls } from '../weights/orderCalls.ts';
import { WeightLoads } from '../weights/weightLoads.ts';
import { BatchMover } from './moves/batchMover.ts';
import { BatchRetention } from './retention/batchRetention.ts';
import { BatchLoader } from './batchLoader.ts';
import type { ContentMemory } from './contents/contentMemory.ts';
import { LoadQueue } from './contents/loadQueue.ts';
import { ItemBodies } from './contents/itemBodies.ts';
import type { PartCache } from './contents/partCache.ts';
import { BATCHES_PREFIX, tryDecodeBatch } from './batchObjects.ts';
import {
  BATCHES_LONG_POLL_MS,
  BATCH_CHANGE_GRACE_MS,
  BATCH_MOVE_CHECK_INTERVAL_MS,
  MAX_FIRST_LOAD_MS,
  MAX_ORDER_TRANSIT_MS,
  MAX_UNREAD_BATCH_BYTES,
  MIN_UNREAD_MS,
  RETENTION_SWEEP_INTERVAL_MS,
} from './constants.ts';
import { type ElectionView, VERIFICATION_TTL_MS } from '../election/holderElection.ts';
import { DispatcherElection } from './dispatcherElection.ts';
import { PartialTextCache } from './partialTextCache.ts';
import type { GenerationCalls } from './generationCalls.ts';
import type { ItemScorer } from './itemScorer.ts';
import { PoolDispatcher } from './poolDispatcher.ts';

/** Weight versions that trainers have published. */
export interface PublishedWeights {
  /** Newest published version of a model; 0 if there is none. */
  newest(model: string): number;
}

export interface BatchCoordinatorOptions {
  readonly pool: string;
  readonly platform: PlatformObjects;
  /** Maximum size of a stored object's value, in bytes. */
  readonly maxValueBytes: number;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly view: ElectionView;
  /** Whether this node has lost its connection to the platform. */
  readonly health: Pick<PlatformHealth, 'lost'>;
  readonly tables: () => GatewayTables | undefined;
  readonly registry: WorkerRegistry;
  readonly limits: RequestLimits;
  readonly permits: Pick<RequestPermits, 'obtain'>;
  readonly poison: PoisonGuard;
  readonly generations: GenerationCalls;
  readonly orders: OrderCalls;
  readonly scorer: ItemScorer;
  /** Bounds what batches make this node hold. */
  readonly memory: ContentMemory;
  readonly parts: PartCache;
  readonly maxLoading?: number;
  /** Follows published weights until disposed. */
  readonly followWeights: (onChange: () => void) => PublishedWeights & Disposable;
  readonly metrics: Pick<
    Metrics,
    | 'batchesRemoved'
    | 'batchMoves'
    | 'itemRuns'
    | 'itemRunSeconds'
    | 'itemsHeld'
    | 'stepsContend'
    | 'weightLoads'
  >;
  /** Rules for when a new dispatcher may send its first order to a worker. */
  readonly orderRules: Pick<FirstOrderConditions, 'fenced' | 'leaseMs'>;
  /** How long an ended batch is kept, in ms. */
  readonly retentionMs: number;
  /** Time without a read after which an open batch whose items may no longer run is abandoned, in ms. */
  readonly unreadRetentionMs: number;
  /** Whether this node waits for preferred candidates before it claims the pool. @default true */
  readonly yieldsToPreferred?: boolean;
  /** Pool that the route of a batch leads to now; undefined if there is no such route any more. */
  readonly routedPoolOf: (record: BatchRecord) => string | undefined;
  /** Whether a batch route leads to a pool. */
  readonly isRouted: (pool: string) => boolean;
  /** Called for a batch of another pool that has not ended. */
  readonly onOtherOpenBatch: (record: BatchRecord) => void;
  /** Asks the former dispatcher to stop and to hand over its progress. Returns no progress when it does not respond. */
  readonly release: (former: DispatcherRecord, term: number) => Promise<ItemProgress[]>;
}

/** Handles the batches of one pool on this node: takes part in the dispatcher election and dispatches while elected. */
export class BatchCoordinator implements AsyncDisposable {
  readonly election: DispatcherElection;

  readonly #options: BatchCoordinatorOptions;

  readonly #partialTexts = new PartialTextCache();

  /** Resources that are disposed when this node stops dispatching. */
  #resources: DisposableStore | undefined;

  #dispatcher: PoolDispatcher | undefined;

  #loader: BatchLoader | undefined;

  #loadQueue: LoadQueue | undefined;

  /** Whether the batches that were open when this node was elected have been loaded, or their loading takes too long. */
  #isFirstLoadOver = false;

  /** Follows the batch records while this node is elected. */
  #batchFollower: ObjectFollower | undefined;

  readonly #countedTexts: Disposable;

  constructor(options: BatchCoordinatorOptions) {
    this.#options = options;
    this.#countedTexts = options.memory.add(this.#partialTexts);
    this.election = new DispatcherElection({
      ...options,
      onElected: (term, former) => this.#startDispatching(term, former),
      onLost: () => void this.#stopDispatching(),
    });
  }

  get pool(): string {
    return this.#options.pool;
  }

  /** The dispatcher on this node; undefined while this node is not elected. */
  get dispatcher(): PoolDispatcher | undefined {
    return this.#dispatcher;
  }

  /** Whether this node dispatches the pool and has no memory for the items of further batches. */
  get isFull(): boolean {
    return this.#loadQueue?.isFull ?? false;
  }

  /** Stops dispatching because another node takes over. Returns the progress of unfinished items. */
  release(term: number): ItemProgress[] {
    const heldTerm = this.election.heldTerm ?? 0;
    if (this.#dispatcher === undefined || heldTerm >= term) return [];
    const progress = this.#dispatcher.release();
    this.election.resign(`released for term ${term}`);
    return progress;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.election[Symbol.dispose]();
    this.#countedTexts[Symbol.dispose]();
    await this.#stopDispatching();
  }

  #startDispatching(term: number, former: DispatcherRecord | undefined): void {
    const { clock, logger, metrics, view, orders, followWeights, pool } = this.#options;
    const resources = new DisposableStore();
    this.#resources = resources;
    const elected = new Stopwatch(clock);
    const firstOrderMs = firstOrderDelayMs({
      ...this.#options.orderRules,
      previousHolder: former?.node,
      newHolder: view.self.name,
      latestOrderMs: VERIFICATION_TTL_MS + MAX_ORDER_TRANSIT_MS,
    });
    const weights = new WeightLoads({
      ...{ clock, logger, calls: orders },
      holder: view.self.name,
      fencing: term,
      verifyHolder: () => this.election.verify(),
      maySendOrders: () => elected.minElapsedMs() >= firstOrderMs,
      onFenced: () => this.election.resign('a worker has seen a later term', term),
      onChange: () => this.#dispatcher?.schedule(),
      onLoad: (outcome) => metrics.weightLoads.inc({ pool, outcome }),
    });
    const published = resources.add(followWeights(() => this.#dispatcher?.schedule()));
    const bodies = resources.add(new ItemBodies(this.#options));
    const dispatcher = new PoolDispatcher({
      ...this.#options,
      ...{ term, bodies },
      weights,
      writer: view.self.incarnation,
      engine: () => this.#options.tables()?.pools.get(pool)?.engine,
      hasAccounts: () => hasAccounts(this.#options.tables()),
      calls: this.#options.generations,
      newestVersion: (model) => published.newest(model),
      partialTexts: this.#partialTexts,
      batchView: () => ({
        ageMs: this.#isFirstLoadOver ? (this.#batchFollower?.ageMs ?? Infinity) : Infinity,
        platformLost: this.#options.health.lost,
      }),
      onSuperseded: () => this.election.resign('a result log was taken over by a later term', term),
    });
    resources.add(dispatcher);
    this.#dispatcher = dispatcher;
    const queue = new LoadQueue({
      ...this.#options,
      loadedCount: () => dispatcher.loadedCount,
    });
    resources.add(this.#options.memory.add(queue));
    this.#loadQueue = queue;
    const loader = new BatchLoader({
      ...this.#options,
      ...{ dispatcher, bodies, queue },
      onLogTaken: () => this.election.recheck(),
    });
    this.#loader = loader;
    this.workersChanged();
    void this.#takeOver(dispatcher, loader, resources, term, former);
  }

  /**
   * Handles the notification that a batch was accepted or ended. The watch usually reports the change within a few ms;
   * if it does not, its connection may be dead, and the batches are listed again.
   */
  batchChanged(batchId: string, ended: boolean): void {
    const { clock, logger } = this.#options;
    this.#dispatcher?.recordContact(batchId);
    clock.schedule(BATCH_CHANGE_GRACE_MS, () => {
      const dispatcher = this.#dispatcher;
      if (dispatcher === undefined) return;
      // A batch that is being loaded was seen as accepted, and not yet as ended.
      const isLoading = this.#loader?.isLoading(batchId) ?? false;
      if (isLoading ? !ended : dispatcher.hasProcessed(batchId, ended)) return;
      logger.info('batch-change-missed', { batch: batchId, ended });
      this.#batchFollower?.refresh();
    });
  }

  workersChanged(): void {
    const dispatcher = this.#dispatcher;
    if (dispatcher === undefined) return;
    dispatcher.workersChanged();
  }

  async #stopDispatching(): Promise<void> {
    const resources = this.#resources;
    this.#resources = undefined;
    this.#dispatcher = undefined;
    this.#loader?.close();
    this.#loader = undefined;
    this.#loadQueue = undefined;
    this.#batchFollower = undefined;
    this.#isFirstLoadOver = false;
    await resources?.[Symbol.asyncDispose]();
  }

  /** Requests the former dispatcher's progress, then starts to follow the batch records. */
  async #takeOver(
    dispatcher: PoolDispatcher,
    loader: BatchLoader,
    resources: DisposableStore,
    term: number,
    former: DispatcherRecord | undefined,
  ): Promise<void> {
    const { platform, clock, random, logger, release, view } = this.#options;
    const isOther = former !== undefined && former.incarnation !== view.self.incarnation;
    const released = isOther ? release(former, term) : [];
    // An unreachable former dispatcher is sent the release as well, but its response is not awaited.
    const progress = this.#isReachable(former) ? await released : [];
    const byBatch = Map.groupBy(progress, ({ batchId }) => batchId);
    logger.info('dispatcher-started', {
      pool: this.pool,
      term,
      former: former?.node,
      itemsPassedOn: progress.length,
    });
    if (dispatcher.closed) return;
    // Batches in the first successful listing may have run under the former dispatcher.
    let isFirstListing = true;
    const firstLoads: Promise<void>[] = [];
    const follower = new ObjectFollower({
      ...{ platform, clock, random, logger, prefix: BATCHES_PREFIX },
      waitMs: () => BATCHES_LONG_POLL_MS,
      onEvent: (event) => {
        const takeOver = isFirstListing && former !== undefined;
        const load = this.#handleBatchEvent(dispatcher, loader, event, takeOver, byBatch);
        if (isFirstListing && load !== undefined) firstLoads.push(load);
      },
      onApplied: () => {
        if (isFirstListing) void this.#startRunsAfter(firstLoads, dispatcher);
        isFirstListing = false;
      },
    });
    resources.add(follower);
    this.#batchFollower = follower;
    const retention = new BatchRetention({
      ...{ ...this.#options, dispatcher },
      objects: () => follower.objects,
      abandonment: {
        maxUnreadMs: this.#options.unreadRetentionMs,
        ...{ maxUnreadBytes: MAX_UNREAD_BATCH_BYTES, minUnreadMs: MIN_UNREAD_MS },
      },
    });
    const mover = new BatchMover({
      ...{ ...this.#options, dispatcher },
      objectOf: (key) => follower.objects.get(key),
      usableWorkers: (pool) => this.#options.registry.usable(pool).length,
    });
    resources.add(repeatEvery(clock, BATCH_MOVE_CHECK_INTERVAL_MS, () => void mover.moveBatches()));
    resources.add(repeatEvery(clock, RETENTION_SWEEP_INTERVAL_MS, () => retention.sweep()));
    await follower.start();
  }

  /**
   * Lets runs start once the open batches are loaded. Otherwise the batch that loads first takes all slots, and the items of
   * an older step wait behind a newer one.
   */
  async #startRunsAfter(
    loads: readonly Promise<void>[],
    dispatcher: PoolDispatcher,
  ): Promise<void> {
    if (loads.length > 0) {
      await Promise.race([Promise.all(loads), sleep(this.#options.clock, MAX_FIRST_LOAD_MS)]);
    }
    if (this.#dispatcher !== dispatcher) return;
    this.#isFirstLoadOver = true;
    dispatcher.schedule();
  }

  #isReachable(node: DispatcherRecord | undefined): boolean {
    const peers = this.#options.view.peers();
    return peers.some(
      ({ identity, suspected }) => identity.incarnation === node?.incarnation && !suspected,
    );
  }

  /** @returns the load of a batch that was not known */
  #handleBatchEvent(
    dispatcher: PoolDispatcher,
    loader: BatchLoader,
    { type, object }: PlatformEvent,
    takeOver: boolean,
    progress: ReadonlyMap<string, ItemProgress[]>,
  ): Promise<void> | undefined {
    const id = object.key.slice(BATCHES_PREFIX.length);
    if (type === 'removed') {
      loader.cancel(id, 'removed');
      dispatcher.forget(id);
      return undefined;
    }
    const record = tryDecodeBatch(object, this.#options.logger);
    if (record === undefined) return undefined;
    if (record.pool !== this.pool) {
      loader.cancel(id, 'moved');
      dispatcher.forget(id, 'batch-moved');
      if (record.endedAtMs === 0n) this.#options.onOtherOpenBatch(record);
      return undefined;
    }
    // A batch that ended before it was loaded here is not loaded; its results are read from the platform.
    if (record.endedAtMs > 0n) {
      loader.cancel(id, 'ended');
      dispatcher.end(id);
      return undefined;
    }
    if (dispatcher.recordOf(id)?.moves === record.moves) return undefined;
    if (loader.movesOf(id) === record.moves) return undefined;
    // The batch left this pool and came back between two events.
    loader.cancel(id, 'moved');
    dispatcher.forget(id, 'batch-moved');
    return loader.load(record, takeOver || record.moves > 0, progress.get(id));
  }
}
