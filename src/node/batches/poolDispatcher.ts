import { create } from '@bufbuild/protobuf';
import {
  type BatchItem,
  type BatchRecord,
  type ItemProgress,
  ItemResultSchema,
  ItemState as ResultState,
} from '../../gen/hyssoppulley/v1/batch_pb.ts';
import { type Clock, sleep } from '../../shared/clock.ts';
import type { Random } from '../../shared/random.ts';
import { DisposableStore } from '../../shared/disposableStore.ts';
import { repeatEvery } from '../../shared/repeat.ts';
import { type Placement, placeItems } from '../decisions/itemPlacement.ts';
import type { EnginePool } from '../gateway/gatewayTables.ts';
import type { RegisteredWorker, WorkerRegistry } from '../gateway/workerRegistry.ts';
import type { Logger } from '../observability/logger.ts';
import type { Metrics } from '../observability/metrics.ts';
import type { PlatformClient } from '../platform/platformClient.ts';
import type { WeightLoads } from '../weights/weightLoads.ts';
import { BatchState } from './batchState.ts';
import {
  BROKEN_BACKOFF_MS,
  CHECKPOINT_INTERVAL_MS,
  ITEM_FAILED,
  ITEM_IMPOSSIBLE,
  REFUSAL_BACKOFF_MS,
  TICK_MS,
} from './constants.ts';
import { EngineWorkers } from './engineWorkers.ts';
import type { EarlierTexts } from './earlierTexts.ts';
import type { GenerationCalls } from './generationCalls.ts';
import { describeRun, ItemRun, type RunEnd } from './itemRun.ts';
import type { ItemScorer } from './itemScorer.ts';
import type { ItemState } from './itemState.ts';
import { PlacementGate, type PlacementGateOptions } from './placementGate.ts';
import { openProgress, ProgressKeeper } from './progressKeeper.ts';
import { leaveSlowWorkers, stopStalled } from './runWatch.ts';
import { promptOf, waitingItem } from './waitingItem.ts';
import { WeightRefresher } from './weightRefresher.ts';
import { fitAnswer, ResultLog } from './resultLog.ts';

export interface PoolDispatcherOptions {
  readonly pool: string;
  readonly term: number;
  /** Incarnation of this node. */
  readonly writer: string;
  readonly platform: PlatformClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Pick<Metrics, 'itemRuns' | 'itemRunSeconds'>;
  readonly registry: WorkerRegistry;
  readonly engine: () => EnginePool | undefined;
  readonly calls: GenerationCalls;
  readonly scorer: ItemScorer;
  readonly weights: WeightLoads;
  /** Newest published weight version of a model. */
  readonly newestVersion: (model: string) => number;
  /** Workers that may load weights at once. @default `LOADING_SHARE` of the pool */
  readonly maxLoading?: number;
  readonly earlierTexts: EarlierTexts;
  readonly batchView: PlacementGateOptions['batchView'];
  /** Told when another node has taken the pool over. */
  readonly onReplaced: () => void;
}

/** Result of a read at the dispatcher. */
export interface ReadBatch {
  readonly total: number;
  readonly results: BatchState['log']['results'];
}

/** Runs the items of a pool's batches on its workers. One node at a time does so for a pool. */
export class PoolDispatcher implements Disposable {
  readonly #options: PoolDispatcherOptions;

  readonly #batches = new Map<string, BatchState>();

  /** Runs in progress by item. */
  readonly #runs = new Map<ItemState, ItemRun>();

  /** Keep the texts of long items, by batch. */
  readonly #keepers = new Map<string, ProgressKeeper>();

  /** Scoring calls in progress by batch. */
  readonly #scoring = new Map<string, AbortController>();

  readonly #workers: EngineWorkers;

  readonly #refresher: WeightRefresher;

  readonly #gate: PlacementGate;

  readonly #ticks = new DisposableStore();

  #scheduled = false;

  #closed = false;

  constructor(options: PoolDispatcherOptions) {
    this.#options = options;
    this.#workers = new EngineWorkers(options);
    this.#refresher = new WeightRefresher({ ...options, workers: this.#workers });
    this.#gate = new PlacementGate(options);
    this.#ticks.add(repeatEvery(options.clock, TICK_MS, () => this.#watchRuns()));
    this.#ticks.add(repeatEvery(options.clock, CHECKPOINT_INTERVAL_MS, () => this.#keepProgress()));
  }

  get closed(): boolean {
    return this.#closed;
  }

  has(batchId: string): boolean {
    return this.#batches.has(batchId);
  }

  /** Whether a batch, or its end, has been taken in. */
  knows(batchId: string, ended: boolean): boolean {
    const batch = this.#batches.get(batchId);
    return ended ? batch === undefined || batch.ended : batch !== undefined;
  }

  /**
   * Adds a batch whose items begin to run.
   *
   * @param takeOver - whether a former dispatcher may have run it
   * @param progress - what that one has generated
   */
  async add(
    record: BatchRecord,
    items: readonly BatchItem[],
    takeOver: boolean,
    progress: readonly ItemProgress[] = [],
  ): Promise<void> {
    const { logger, platform, clock, random, term, writer, earlierTexts, onReplaced } =
      this.#options;
    const log = new ResultLog({
      ...{ platform, clock, random, logger, term, writer, batchId: record.id },
      onAdopted: (results) => this.#batches.get(record.id)?.listed(results),
      onTaken: onReplaced,
    });
    const keeper = new ProgressKeeper({ platform, logger, term, batchId: record.id });
    const kept = takeOver ? (await Promise.all([keeper.read(), log.takeOver()]))[0] : [];
    if (this.#closed || this.#batches.has(record.id)) return;
    const batch = new BatchState(record, items, log);
    this.#keepers.set(record.id, keeper);
    this.#batches.set(record.id, batch);
    this.#refresher.added(batch);
    this.#scoring.set(record.id, new AbortController());
    // The former dispatcher itself knows more than it has kept.
    for (const item of [...progress, ...kept]) batch.adopt(item);
    const reused = earlierTexts.reuse(batch);
    logger.info('batch-dispatched', {
      batch: record.id,
      pool: record.pool,
      step: record.step,
      minVersion: record.minVersion,
      items: items.length,
      listed: log.results.length,
      ended: batch.ended,
      reused,
      continued: [...batch.items.values()].filter(({ text }) => text.events.length > 0).length,
      term,
    });
    for (const state of batch.items.values()) {
      if (state.whole && state.phase === 'waiting') void this.#score(state);
    }
    this.schedule();
  }

  /** Ends a batch: nothing of it runs any more. What is listed can still be read. */
  end(batchId: string): void {
    const batch = this.#batches.get(batchId);
    if (batch === undefined || batch.ended) return;
    batch.end();
    this.#scoring.get(batchId)?.abort();
    let stopped = 0;
    for (const [state, run] of this.#runs) {
      if (state.batch === batch) {
        run.stop('batch-ended');
        stopped += 1;
      }
    }
    this.#options.earlierTexts.keep(batch);
    const listed = batch.log.results.length;
    this.#options.logger.info('batch-ended', { batch: batchId, listed, stoppedRuns: stopped });
    this.schedule();
  }

  /** Forgets a batch that nobody reads any more. */
  forget(batchId: string): void {
    this.end(batchId);
    this.#batches.get(batchId)?.log.close();
    this.#batches.delete(batchId);
    this.#keepers.delete(batchId);
    this.#scoring.delete(batchId);
  }

  /** Results from a position on; waits until there is one. Undefined: the batch is not here. */
  async read(batchId: string, after: number, waitMs: number): Promise<ReadBatch | undefined> {
    const batch = this.#batches.get(batchId);
    if (batch === undefined) return undefined;
    const { log } = batch;
    if (log.results.length <= after && !batch.ended && waitMs > 0) await log.changes.wait(waitMs);
    return { total: batch.items.size, results: fitAnswer(log.results.slice(after)) };
  }

  /** An item of a batch that has not ended. */
  findItem(batchId: string, itemId: string): BatchItem | undefined {
    const batch = this.#batches.get(batchId);
    return batch === undefined || batch.ended ? undefined : batch.items.get(itemId)?.item;
  }

  /** Stops everything and tells what the items have generated, for the next dispatcher. */
  release(): ItemProgress[] {
    const progress = openProgress(this.#batches.values());
    this[Symbol.dispose]();
    return progress;
  }

  /** Takes in the registrations of the pool's workers. */
  workersChanged(): void {
    this.#workers.changed();
    this.schedule();
  }

  /** Looks for work soon: something changed. */
  schedule(): void {
    if (this.#scheduled || this.#closed) return;
    this.#scheduled = true;
    this.#options.clock.schedule(0, () => {
      this.#scheduled = false;
      if (!this.#closed) this.#place();
    });
  }

  [Symbol.dispose](): void {
    if (this.#closed) return;
    this.#closed = true;
    void this.#ticks[Symbol.asyncDispose]();
    this.#options.weights.close();
    for (const run of this.#runs.values()) run.stop('released');
    for (const abort of this.#scoring.values()) abort.abort();
    for (const { log } of this.#batches.values()) log.close();
  }

  #openBatches(): BatchState[] {
    return [...this.#batches.values()].filter((batch) => !batch.ended && !batch.complete);
  }

  #waiting(): Map<string, ItemState> {
    const waiting = new Map<string, ItemState>();
    for (const batch of this.#openBatches()) {
      for (const state of batch.items.values()) {
        if (state.phase === 'waiting') waiting.set(`${batch.record.id}/${state.item.id}`, state);
      }
    }
    return waiting;
  }

  #place(): void {
    const workers = this.#workers.registered();
    if (this.#gate.mayBegin()) this.#startWaiting(workers);
    this.#refresher.refresh(workers, this.#openBatches(), [...this.#runs.values()]);
  }

  #startWaiting(workers: readonly RegisteredWorker[]): void {
    const waiting = this.#waiting();
    const placements = placeItems(
      [...waiting].map(([key, state]) =>
        waitingItem(key, state, this.#options.engine()?.tokensPerEvent ?? 1),
      ),
      this.#workers.forPlacement(this.#runningByWorker()),
    );
    for (const placement of placements) this.#start(placement, waiting, workers);
  }

  #start(
    { item: key, worker: workerId }: Placement,
    waiting: ReadonlyMap<string, ItemState>,
    workers: readonly RegisteredWorker[],
  ): void {
    const state = waiting.get(key);
    const worker = workers.find(({ id }) => id === workerId);
    if (state === undefined || worker === undefined) return;
    state.begin();
    const { clock, calls, weights } = this.#options;
    const { model } = state.batch.record;
    const run = new ItemRun({
      ...{ clock, calls, state, worker },
      onVersion: (version) => weights.observed(worker.id, model, version),
      onGap: (gapMs) => this.#workers.gap(worker.id, gapMs),
    });
    this.#runs.set(state, run);
    this.#workers.reads(worker.id, promptOf(state.item));
    const begun = state.text.events.length;
    void run.finish().then((end) => {
      this.#runs.delete(state);
      const { logger, metrics, pool } = this.#options;
      logger.info('item-run', describeRun(run, end, begun));
      metrics.itemRuns.inc({ pool, end: end.kind });
      metrics.itemRunSeconds.observe({ pool }, run.elapsedMs / 1000);
      if (!this.#closed) this.#ended(run, end);
    });
  }

  /** Decides what follows a run. */
  #ended(run: ItemRun, end: RunEnd): void {
    const { state, worker } = run;
    // Its result may have been adopted from the former dispatcher meanwhile.
    if (state.closed) {
      this.schedule();
      return;
    }
    state.wait(worker.id);
    const isStopped = end.kind === 'stopped';
    if (end.kind === 'complete' || (end.kind === 'uncertain' && run.events === 0)) {
      this.#workers.record(worker.id, 'answered');
      void this.#score(state);
    } else if (end.kind === 'failed') {
      this.#failed(run, end.statusCode);
    } else if (end.kind === 'not-run') {
      if (!end.misdirected) state.wait(undefined);
      this.#pause(worker.id, REFUSAL_BACKOFF_MS);
    } else if (end.kind === 'broken') {
      this.#workers.record(worker.id, 'failed');
      if (run.events === 0) this.#pause(worker.id, BROKEN_BACKOFF_MS);
    } else if (isStopped && end.reason === 'stalled') {
      this.#workers.record(worker.id, 'silent');
    } else if (isStopped && end.reason === 'wrong-version') {
      if (state.batch.record.singleVersion) state.text.clear();
    }
    this.schedule();
  }

  #failed({ state, worker }: ItemRun, statusCode: number): void {
    if (statusCode === ITEM_FAILED) state.fail();
    const isOver = state.failedAttempts >= state.batch.record.maxAttempts;
    if (statusCode === ITEM_IMPOSSIBLE || isOver) this.#finish(state, undefined);
    else this.#pause(worker.id, REFUSAL_BACKOFF_MS);
  }

  async #score(state: ItemState): Promise<void> {
    const { scorer } = this.#options;
    const { batch, item } = state;
    state.score();
    const signal = this.#scoring.get(batch.record.id)?.signal;
    const score =
      item.scoring === undefined || signal === undefined
        ? ''
        : await scorer.score(item.scoring, signal);
    if (signal?.aborted || this.#closed) return;
    this.#finish(state, score);
  }

  /** @param score - undefined: the item is given up */
  #finish(state: ItemState, score: string | undefined): void {
    const { batch, item, text } = state;
    if (batch.ended || state.closed) return;
    if (score === undefined) {
      this.#options.logger.info('item-given-up', {
        batch: batch.record.id,
        item: item.id,
        scoring: state.whole ? item.scoring?.id : undefined,
        failedRuns: state.failedAttempts,
      });
    }
    const isGroupDone = batch.finish(state);
    batch.log.append(
      create(ItemResultSchema, {
        itemId: item.id,
        state: score === undefined ? ResultState.DEAD : ResultState.COMPLETED,
        events: score === undefined ? [] : [...text.events],
        versions: score === undefined ? [] : text.versions,
        score: score ?? '',
      }),
    );
    if (isGroupDone && batch.missingGroups <= 0) batch.log.flush();
    this.schedule();
  }

  #pause(worker: string, forMs: number): void {
    this.#workers.pause(worker, forMs);
    void sleep(this.#options.clock, forMs).then(() => this.schedule());
  }

  #runningByWorker(): Map<string, number> {
    const running = new Map<string, number>();
    for (const { worker } of this.#runs.values()) {
      running.set(worker.id, (running.get(worker.id) ?? 0) + 1);
    }
    return running;
  }

  /** Moves runs away from workers that are silent or slow. */
  #watchRuns(): void {
    const { clock, weights } = this.#options;
    stopStalled([...this.#runs.values()], this.#workers.stallMs, clock.monotonicMs());
    leaveSlowWorkers([...this.#runs.values()], this.#runningByWorker(), this.#workers, weights);
    this.schedule();
  }

  #keepProgress(): void {
    for (const batch of this.#openBatches()) {
      const open = [...batch.items.values()].filter(({ closed }) => !closed);
      void this.#keepers.get(batch.record.id)?.keep(open);
    }
  }
}
