import type {
  BatchItem,
  BatchRecord,
  DispatcherRecord,
  ItemProgress,
} from '../../gen/hyssoppulley/v1/batch_pb.ts';
import { type Clock, sleep, Stopwatch } from '../../shared/clock.ts';
import { DisposableStore } from '../../shared/disposableStore.ts';
import { messageOf } from '../../shared/errors.ts';
import type { Random } from '../../shared/random.ts';
import { repeatEvery } from '../../shared/repeat.ts';
import { firstOrderDelayMs, type OrderRight } from '../decisions/orderRight.ts';
import type { GatewayTables } from '../gateway/gatewayTables.ts';
import type { WorkerRegistry } from '../gateway/workerRegistry.ts';
import type { Logger } from '../observability/logger.ts';
import type { Metrics } from '../observability/metrics.ts';
import { ObjectFollower } from '../platform/objectFollower.ts';
import type { PlatformEvent, PlatformObjects } from '../platform/platformClient.ts';
import type { PlatformHealth } from '../platform/platformHealth.ts';
import type { OrderCalls } from '../weights/orderCalls.ts';
import { WeightLoads } from '../weights/weightLoads.ts';
import type { BatchAcceptor } from './batchAcceptor.ts';
import {
  BATCHES_PREFIX,
  decodeBatch,
  decodeItems,
  itemsKey,
  logPrefix,
  progressPrefix,
} from './batchObjects.ts';
import {
  BATCHES_WAIT_MS,
  LOAD_RETRY_MS,
  NEWS_GRACE_MS,
  ORDER_TRANSIT_MS,
  RETENTION_SWEEP_MS,
} from './constants.ts';
import { DispatcherElection, type ElectionView, VERIFIED_FOR_MS } from './dispatcherElection.ts';
import { EarlierTexts } from './earlierTexts.ts';
import type { GenerationCalls } from './generationCalls.ts';
import type { ItemScorer } from './itemScorer.ts';
import { PoolDispatcher } from './poolDispatcher.ts';
import { LogTakenError } from './resultLog.ts';

/** Follows the weight versions that trainers publish. */
export interface PublishedWeights {
  /** Newest version of a model; 0: none was published. */
  newest(model: string): number;
}

export interface BatchCoordinatorOptions {
  readonly pool: string;
  readonly platform: PlatformObjects;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly view: ElectionView;
  /** Whether the platform answers this node. */
  readonly health: Pick<PlatformHealth, 'lost'>;
  readonly tables: () => GatewayTables | undefined;
  readonly registry: WorkerRegistry;
  readonly generations: GenerationCalls;
  readonly orders: OrderCalls;
  readonly scorer: ItemScorer;
  readonly acceptor: BatchAcceptor;
  readonly maxLoading?: number;
  /** Follows published weights until disposed. */
  readonly followWeights: (onChange: () => void) => PublishedWeights & Disposable;
  readonly metrics: Pick<Metrics, 'itemRuns' | 'itemRunSeconds' | 'weightLoads'>;
  /** Rules for the first order of a new holder. */
  readonly orderRules: Pick<OrderRight, 'fenced' | 'leaseMs'>;
  /** Results can be read for this long after the submission, in ms. */
  readonly retentionMs: number;
  /** Asks the former dispatcher to stop and to pass its progress on; none when it does not answer. */
  readonly release: (former: DispatcherRecord, term: number) => Promise<ItemProgress[]>;
}

/** Everything that a node does for the batches of one pool: takes part in the election, and dispatches when elected. */
export class BatchCoordinator implements AsyncDisposable {
  readonly election: DispatcherElection;

  readonly #options: BatchCoordinatorOptions;

  readonly #earlierTexts = new EarlierTexts();

  #duty: DisposableStore | undefined;

  #dispatcher: PoolDispatcher | undefined;

  /** Follows the batches while this node is elected. */
  #batches: ObjectFollower | undefined;

  constructor(options: BatchCoordinatorOptions) {
    this.#options = options;
    const { pool, platform, clock, random, logger, view, health } = options;
    this.election = new DispatcherElection({
      ...{ pool, platform, clock, random, logger, view, health },
      onElected: (term, former) => this.#begin(term, former),
      onLost: () => void this.#end(),
    });
  }

  get pool(): string {
    return this.#options.pool;
  }

  /** The dispatcher on this node, while it is elected. */
  get dispatcher(): PoolDispatcher | undefined {
    return this.#dispatcher;
  }

  /** Another node takes over: stops the runs and tells what they have generated. */
  release(term: number): ItemProgress[] {
    const heldTerm = this.election.heldTerm ?? 0;
    if (this.#dispatcher === undefined || heldTerm >= term) return [];
    const progress = this.#dispatcher.release();
    this.election.resign(`released for term ${term}`);
    return progress;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.election[Symbol.dispose]();
    await this.#end();
  }

  #begin(term: number, former: DispatcherRecord | undefined): void {
    const { clock, logger, metrics, view, orders, followWeights, pool } = this.#options;
    const duty = new DisposableStore();
    this.#duty = duty;
    const elected = new Stopwatch(clock);
    const firstOrderMs = firstOrderDelayMs({
      ...this.#options.orderRules,
      formerNode: former?.node,
      ownNode: view.self.name,
      latestOrderMs: VERIFIED_FOR_MS + ORDER_TRANSIT_MS,
    });
    const weights = new WeightLoads({
      ...{ clock, logger, calls: orders },
      holder: view.self.name,
      fencing: term,
      verifyHold: () => this.election.verify(),
      mayOrder: () => elected.certainlyElapsedMs() >= firstOrderMs,
      onFenced: () => this.election.resign('a worker knows a later term', term),
      onChange: () => this.#dispatcher?.schedule(),
      onLoad: (outcome) => metrics.weightLoads.inc({ pool, outcome }),
    });
    const published = duty.add(followWeights(() => this.#dispatcher?.schedule()));
    const dispatcher = new PoolDispatcher({
      ...this.#options,
      term,
      weights,
      writer: view.self.incarnation,
      engine: () => this.#options.tables()?.pools.get(pool)?.engine,
      calls: this.#options.generations,
      newestVersion: (model) => published.newest(model),
      earlierTexts: this.#earlierTexts,
      batchView: () => ({
        ageMs: this.#batches?.ageMs ?? Infinity,
        platformLost: this.#options.health.lost,
      }),
      onReplaced: () => this.election.resign('a later term has a log', term),
    });
    duty.add(dispatcher);
    this.#dispatcher = dispatcher;
    this.workersChanged();
    void this.#takeOver(dispatcher, duty, term, former);
  }

  /** A batch was accepted or ended at another node. The watch usually tells within a few ms; it may have gone silent. */
  batchChanged(batchId: string, ended: boolean): void {
    const { clock, logger } = this.#options;
    clock.schedule(NEWS_GRACE_MS, () => {
      const dispatcher = this.#dispatcher;
      if (dispatcher === undefined || dispatcher.knows(batchId, ended)) return;
      logger.info('batch-change-missed', { batch: batchId, ended });
      this.#batches?.refresh();
    });
  }

  /** The workers of the pool changed. */
  workersChanged(): void {
    const dispatcher = this.#dispatcher;
    if (dispatcher === undefined) return;
    dispatcher.workersChanged();
  }

  async #end(): Promise<void> {
    const duty = this.#duty;
    this.#duty = undefined;
    this.#dispatcher = undefined;
    this.#batches = undefined;
    await duty?.[Symbol.asyncDispose]();
  }

  /** Gets the former dispatcher's progress, then follows the batches. */
  async #takeOver(
    dispatcher: PoolDispatcher,
    duty: DisposableStore,
    term: number,
    former: DispatcherRecord | undefined,
  ): Promise<void> {
    const { platform, clock, random, logger, release, view } = this.#options;
    const isOther = former !== undefined && former.incarnation !== view.self.incarnation;
    const released = isOther ? release(former, term) : [];
    // A former dispatcher that is out of reach is told all the same, but its answer is not waited for.
    const progress = this.#isReachable(former) ? await released : [];
    const byBatch = Map.groupBy(progress, ({ batchId }) => batchId);
    logger.info('dispatcher-began', {
      pool: this.pool,
      term,
      former: former?.node,
      itemsPassedOn: progress.length,
    });
    if (dispatcher.closed) return;
    // Batches that the first answered list shows may have run under the former dispatcher.
    let listing = true;
    const follower = new ObjectFollower({
      ...{ platform, clock, random, logger, prefix: BATCHES_PREFIX },
      waitMs: () => BATCHES_WAIT_MS,
      onEvent: (event) => {
        const takeOver = listing && former !== undefined;
        this.#onBatch(dispatcher, event, takeOver, byBatch);
      },
      onAdvanced: () => {
        listing = false;
      },
    });
    duty.add(follower);
    this.#batches = follower;
    duty.add(repeatEvery(clock, RETENTION_SWEEP_MS, () => this.#sweep(follower, dispatcher)));
    await follower.start();
  }

  #isReachable(node: DispatcherRecord | undefined): boolean {
    const peers = this.#options.view.peers();
    return peers.some(
      ({ identity, suspected }) => identity.incarnation === node?.incarnation && !suspected,
    );
  }

  #onBatch(
    dispatcher: PoolDispatcher,
    { type, object }: PlatformEvent,
    takeOver: boolean,
    progress: ReadonlyMap<string, ItemProgress[]>,
  ): void {
    const id = object.key.slice(BATCHES_PREFIX.length);
    if (type === 'removed') {
      dispatcher.forget(id);
      return;
    }
    const record = this.#decode(object.key, object.value);
    if (record === undefined || record.pool !== this.pool) return;
    // Results of an ended batch are read from the platform unless it is here already.
    if (record.endedAtMs > 0n) dispatcher.end(record.id);
    else if (!dispatcher.has(record.id)) {
      void this.#load(dispatcher, record, takeOver, progress.get(record.id));
    }
  }

  #decode(key: string, value: unknown): BatchRecord | undefined {
    try {
      return decodeBatch(value);
    } catch (error) {
      this.#options.logger.warn('batch-unreadable', { key, message: messageOf(error) });
      return undefined;
    }
  }

  /** Reads what a batch needs and adds it; tries again while the platform does not answer. */
  async #load(
    dispatcher: PoolDispatcher,
    record: BatchRecord,
    takeOver: boolean,
    progress: readonly ItemProgress[] | undefined,
  ): Promise<void> {
    const { clock, logger, acceptor } = this.#options;
    while (!dispatcher.closed && !dispatcher.has(record.id)) {
      try {
        const items = acceptor.itemsOf(record.id) ?? (await this.#readItems(record));
        await dispatcher.add(record, items, takeOver, progress);
        return;
      } catch (error) {
        logger.warn('batch-load-failed', { batch: record.id, message: messageOf(error) });
        if (error instanceof LogTakenError) {
          this.election.recheck();
          return;
        }
        await sleep(clock, LOAD_RETRY_MS);
      }
    }
  }

  async #readItems({ id, partCount }: BatchRecord): Promise<BatchItem[]> {
    const { platform } = this.#options;
    const parts = await Promise.all(
      Array.from({ length: partCount }, (_, part) => platform.read(itemsKey(id, part))),
    );
    return parts.flatMap((object) => decodeItems(object?.value));
  }

  /** Removes batches whose results need no longer be kept. */
  async #sweep(follower: ObjectFollower, dispatcher: PoolDispatcher): Promise<void> {
    const { clock, retentionMs, platform, logger } = this.#options;
    for (const { key, value, version } of follower.objects.values()) {
      const record = this.#decode(key, value);
      if (record === undefined || record.pool !== this.pool) continue;
      const ageMs = clock.nowMs() - Number(record.submittedAtMs);
      const isOver = record.endedAtMs > 0n || ageMs > 2 * retentionMs;
      if (ageMs < retentionMs || !isOver) continue;
      try {
        await platform.remove(key, { ifVersion: version });
        dispatcher.forget(record.id);
        for (const prefix of [logPrefix(record.id), progressPrefix(record.id)]) {
          for (const entry of await platform.list(prefix)) await platform.remove(entry.key);
        }
        for (let part = 0; part < record.partCount; part += 1) {
          await platform.remove(itemsKey(record.id, part));
        }
        logger.info('batch-removed', { batch: record.id, ageMs });
      } catch (error) {
        logger.warn('batch-removal-failed', { batch: record.id, message: messageOf(error) });
        return;
      }
    }
  }
}
