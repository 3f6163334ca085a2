import type { BatchItem, BatchRecord, ItemProgress } from '../../gen/hyssoppulley/v1/batch_pb.ts';
import { sleep } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import { DisposableStore } from '../../shared/disposableStore.ts';
import { repeatEvery } from '../../shared/repeat.ts';
import type { OpenBatch } from '../decisions/batchRetention/abandonment.ts';
import { EVERY_EVENT } from '../decisions/items/checkpoints.ts';
import { accountOfItems } from '../decisions/accounts/batchOwnership.ts';
import type { WorkerResult } from '../decisions/passiveHealthCheck.ts';
import { REQUEST_FAILED_STATUS } from '../gateway/constants.ts';
import type { RegisteredWorker } from '../gateway/workerRegistry.ts';
import { batchDemands, type DispatcherDemand } from './batchDemand.ts';
import { BatchState, type DispatcherRead } from './batchState.ts';
import { type HeldBytes, holdInline } from './contents/sharedBytes.ts';
import {
  BROKEN_STREAM_BACKOFF_MS,
  CHECKPOINT_INTERVAL_MS,
  HELD_ITEMS_CHECK_INTERVAL_MS,
  ITEM_UNPROCESSABLE_STATUS,
  MIN_REPORTED_PAUSE_MS,
  REJECTION_BACKOFF_MS,
  RUN_CHECK_INTERVAL_MS,
} from './constants.ts';
import { DispatchedBatches } from './dispatchedBatches.ts';
import { EnginePermits } from './enginePermits.ts';
import { EngineWorkers } from './engineWorkers.ts';
import { HeldItems } from './heldItems.ts';
import { runLogFields, ItemRun, type RunEnd } from './itemRun.ts';
import { ItemPlacer } from './itemPlacer.ts';
import { ItemResults } from './itemResults.ts';
import type { ItemState } from './itemState.ts';
import type { AddOptions, PoolDispatcherOptions } from './poolDispatcherOptions.ts';
import { BatchContacts } from './retention/batchContacts.ts';
import { StaleViewGuard } from './staleViewGuard.ts';
import { unstoredProgress, CheckpointStore } from './checkpointStore.ts';
import { ObservedTime } from './observedTime.ts';
import { stopRunsOnLeavingWorkers, stopSlowRuns, stopStalledRuns } from './runSupervision.ts';
import { sharedPromptOf } from './waitingItem.ts';
import { countByWorker, SuspectedItems } from './suspectedItems.ts';
import { TextRestarts } from './textRestarts.ts';
import { WeightRefresher } from './weightRefresher.ts';
import { limitReadSize, ResultLog } from './resultLog.ts';

/** Runs the items of a pool's batches on the pool's workers. Only the elected node has a dispatcher for the pool. */
export class PoolDispatcher implements Disposable {
  readonly #options: PoolDispatcherOptions;

  readonly #batches = new DispatchedBatches((batchId) => this.forget(batchId));

  /** Runs in progress by item. */
  readonly #runs = new Map<ItemState, ItemRun>();

  /** Checkpoint stores by batch. */
  readonly #checkpointStores = new Map<string, CheckpointStore>();

  readonly #results: ItemResults;

  readonly #contacts: BatchContacts;

  readonly #workers: EngineWorkers;

  readonly #permits: EnginePermits;

  readonly #refresher: WeightRefresher;

  readonly #suspected: SuspectedItems;

  readonly #viewGuard: StaleViewGuard;

  readonly #placer: ItemPlacer;

  readonly #held: HeldItems;

  readonly #timers = new DisposableStore();

  readonly #observedTime: ObservedTime;

  #placementScheduled = false;

  #closed = false;

  constructor(options: PoolDispatcherOptions) {
    this.#options = options;
    this.#observedTime = new ObservedTime(options.clock, 2 * RUN_CHECK_INTERVAL_MS);
    this.#contacts = new BatchContacts(options.clock);
    this.#timers.add(options.memory.add(this.#batches));
    this.#results = new ItemResults({ ...options, schedule: () => this.schedule() });
    this.#permits = new EnginePermits(options);
    this.#workers = new EngineWorkers({
      ...options,
      permitsOf: (id) => this.#permits.available(id),
    });
    this.#refresher = new WeightRefresher({ ...options, workers: this.#workers });
    this.#suspected = new SuspectedItems(options);
    this.#viewGuard = new StaleViewGuard(options);
    this.#placer = new ItemPlacer({
      ...options,
      ...{ workers: this.#workers, permits: this.#permits, suspected: this.#suspected },
      viewGuard: this.#viewGuard,
      textRestarts: new TextRestarts({ ...options, workers: this.#workers }),
      schedule: () => this.schedule(),
      startRun: (state, worker) => this.#startRun(state, worker),
    });
    this.#held = new HeldItems({
      ...{ ...options, workers: this.#workers, suspected: this.#suspected },
      viewGuard: this.#viewGuard,
    });
    this.#timers.add(
      repeatEvery(options.clock, HELD_ITEMS_CHECK_INTERVAL_MS, () =>
        this.#held.report(this.#batches.open(), this.#runs),
      ),
    );
    this.#timers.add(repeatEvery(options.clock, RUN_CHECK_INTERVAL_MS, () => this.#checkRuns()));
    this.#timers.add(repeatEvery(options.clock, CHECKPOINT_INTERVAL_MS, () => this.#checkpoint()));
  }

  get closed(): boolean {
    return this.#closed;
  }

  /** Number of batches whose items are in memory. */
  get loadedCount(): number {
    return this.#batches.loadedCount;
  }

  /** Account to which a batch belongs; undefined for an unknown batch. */
  ownerOf(batchId: string): string | undefined {
    return this.#batches.get(batchId)?.record.account;
  }

  has(batchId: string): boolean {
    return this.#batches.has(batchId);
  }

  /** Records that the trainer of a batch has given a sign of itself. */
  recordContact(batchId: string): void {
    this.#contacts.record(batchId);
  }

  /** The batches that have not ended, as far as their retention depends on them. */
  openBatches(): OpenBatch[] {
    return this.#batches
      .all()
      .filter(({ ended }) => !ended)
      .map(({ record: { id, itemTtlMs }, storedBytes, complete }) => ({
        ...{ id, itemTtlMs, complete, bytes: storedBytes, ...this.#contacts.of(id) },
      }));
  }

  /** Records of the batches with unfinished items, as they were when the batches were added. */
  openRecords(): BatchRecord[] {
    return this.#batches.openRecords();
  }

  /** Record of a batch as it was when the batch was added. */
  recordOf(batchId: string): BatchRecord | undefined {
    return this.#batches.get(batchId)?.record;
  }

  /** Whether the dispatcher has processed the addition of a batch or, with `ended`, its end. */
  hasProcessed(batchId: string, ended: boolean): boolean {
    const batch = this.#batches.get(batchId);
    return ended ? batch === undefined || batch.ended : batch !== undefined;
  }

  /** Adds a batch and schedules its items. */
  async add(
    record: BatchRecord,
    items: readonly BatchItem[],
    { takeOver = false, progress = [], signal, priority }: AddOptions = {},
  ): Promise<void> {
    const { logger, partialTexts, onSuperseded } = this.#options;
    const rank = { moves: record.moves, term: this.#options.term };
    const stored = { ...this.#options, batchId: record.id, rank };
    const log = new ResultLog({
      ...stored,
      onAdopted: (results) => this.#batches.get(record.id)?.markStored(results),
      onTakenOver: onSuperseded,
    });
    const checkpoints = new CheckpointStore(stored);
    const restored = takeOver
      ? (await Promise.all([checkpoints.read(priority), log.takeOver(priority)]))[0]
      : [];
    if (signal?.aborted || this.#closed || this.#batches.has(record.id)) return;
    const batch = new BatchState(record, items, log, this.#options.bodies);
    this.#checkpointStores.set(record.id, checkpoints);
    this.#batches.add(batch);
    this.#contacts.add(record.id);
    this.#refresher.recordBatch(batch);
    this.#suspected.recordBatch(batch, !takeOver);
    this.#results.addBatch(record.id);
    // Progress handed over by the former dispatcher is applied first, because it is newer than its checkpoints.
    for (const item of [...progress, ...restored]) batch.restoreProgress(item);
    const reused = partialTexts.restoreInto(batch);
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
      ...rank,
    });
    for (const state of batch.items.values()) {
      if (state.isTextComplete && state.phase === 'waiting') void this.#results.score(state);
    }
    this.schedule();
  }

  /** Ends a batch and stops its runs. Results that are already stored remain readable. */
  end(batchId: string): void {
    this.#stopBatch(batchId, 'batch-ended');
  }

  /**
   * Stops the runs of a batch and drops its state, including the results.
   *
   * @param reason - why this dispatcher has nothing more to do for it
   */
  forget(batchId: string, reason: 'batch-ended' | 'batch-moved' = 'batch-ended'): void {
    this.#stopBatch(batchId, reason);
    this.#batches.get(batchId)?.log.close();
    this.#batches.delete(batchId);
    this.#suspected.retainBatches((id) => this.#batches.has(id));
    this.#checkpointStores.delete(batchId);
    this.#contacts.remove(batchId);
    this.#results.removeBatch(batchId);
  }

  /** Stores all that has been generated of a batch and is not in its result log. */
  async storeProgress(batchId: string): Promise<void> {
    const items = [...(this.#batches.get(batchId)?.items.values() ?? [])];
    const unlisted = items.filter(({ phase }) => phase !== 'listed');
    await this.#checkpointStores.get(batchId)?.write(unlisted, EVERY_EVENT);
  }

  /** Reads results from a position on, waiting up to `waitMs` for the first. Returns undefined for an unknown batch. */
  async read(batchId: string, after: number, waitMs: number): Promise<DispatcherRead | undefined> {
    const batch = this.#batches.get(batchId);
    if (batch === undefined) return undefined;
    this.#contacts.record(batchId);
    const { log } = batch;
    if (log.results.length <= after && !batch.ended && waitMs > 0) await log.changes.wait(waitMs);
    if (log.isReleased) return undefined;
    return { total: batch.itemCount, results: limitReadSize(log.results.slice(after)) };
  }

  /** Holds the body of an unfinished item; undefined if it must be read from the platform. */
  async holdBody(batchId: string, itemId: string): Promise<HeldBytes | undefined> {
    this.#contacts.record(batchId);
    const state = this.#batches.get(batchId)?.items.get(itemId);
    if (state === undefined || state.closed) return undefined;
    if (!state.hasLargeBody) return holdInline(state.item.body);
    try {
      const body = await this.#options.bodies.acquire(batchId, itemId);
      return { bytes: body.request.bytes, [Symbol.dispose]: () => body[Symbol.dispose]() };
    } catch (error) {
      this.#options.logger.info('item-body-unread', { batch: batchId, message: messageOf(error) });
      return undefined;
    }
  }

  /** Stops the dispatcher and returns the progress of its items, to be handed over to the next dispatcher. */
  release(): ItemProgress[] {
    const progress = unstoredProgress(this.#batches.all());
    this[Symbol.dispose]();
    return progress;
  }

  /** Applies changed registrations of the pool's workers. */
  workersChanged(): void {
    this.#workers.registrationsChanged();
    this.schedule();
  }

  /** Work that the open batches still need from workers. */
  demand(): DispatcherDemand {
    const { clock, engine, pool, term } = this.#options;
    const { tokensPerEvent = 1, slots = 1 } = engine() ?? {};
    return {
      ...{ pool, term, tokensPerEvent, slotsPerWorker: slots },
      batches: batchDemands(this.#batches.open(), tokensPerEvent, clock.nowMs()),
      eventGapMs: Math.round(this.#workers.measuredGapMs),
    };
  }

  /** Schedules a placement of waiting items. Several calls before it runs result in one placement. */
  schedule(): void {
    if (this.#placementScheduled || this.#closed) return;
    this.#placementScheduled = true;
    this.#options.clock.schedule(0, () => {
      this.#placementScheduled = false;
      if (!this.#closed) this.#placeItems();
    });
  }

  [Symbol.dispose](): void {
    if (this.#closed) return;
    this.#closed = true;
    void this.#timers[Symbol.asyncDispose]();
    this.#held[Symbol.dispose]();
    this.#options.weights.close();
    for (const run of this.#runs.values()) run.stop('released');
    this.#results[Symbol.dispose]();
    for (const { log } of this.#batches.all()) log.close();
  }

  #stopBatch(batchId: string, reason: 'batch-ended' | 'batch-moved'): void {
    const batch = this.#batches.get(batchId);
    if (batch === undefined || batch.ended) return;
    this.#options.partialTexts.store(batch);
    batch.end();
    this.#results.endBatch(batchId);
    let stoppedRuns = 0;
    for (const [state, run] of this.#runs) {
      if (state.batch === batch) {
        run.stop(reason);
        stoppedRuns += 1;
      }
    }
    const { logger, pool } = this.#options;
    const listed = batch.log.results.length;
    logger.info(reason, { batch: batchId, pool, listed, stoppedRuns });
    this.schedule();
  }

  /** Waiting items that may start now, by key; of many items that have not begun, as many as can start. */
  #waitingItems(runs: readonly ItemRun[]): Map<string, ItemState> {
    const freeSlots = this.#workers
      .withFreeSlots(countByWorker(runs))
      .reduce((sum, free) => sum + free.freeSlots, 0);
    // The order in which suspected items are tried depends on all of them.
    const countOfBatch = this.#suspected.isCalm ? freeSlots : Infinity;
    const startable = this.#suspected.startable(this.#batches.waitingItems(countOfBatch), runs);
    return new Map(
      startable.map((state) => [`${state.batch.record.id}/${state.item.id}`, state] as const),
    );
  }

  #placeItems(): void {
    const workers = this.#workers.usable();
    if (this.#viewGuard.mayStartRuns()) {
      const runs = [...this.#runs.values()];
      this.#placer.place(this.#batches.open(), this.#waitingItems(runs), runs, workers);
    }
    this.#refresher.refresh(workers, this.#batches.open(), [...this.#runs.values()]);
  }

  #startRun(state: ItemState, worker: RegisteredWorker): void {
    state.start();
    this.#held.recordStart(state);
    this.#permits.use(worker.id);
    const { clock, calls, weights, bodies } = this.#options;
    const { model } = state.batch.record;
    const run = new ItemRun({
      ...{ clock, observedTime: this.#observedTime, calls, state, worker },
      account: accountOfItems(state.batch.record.account, this.#options.hasAccounts?.() ?? false),
      acquireBody: (signal) => bodies.acquire(state.batch.record.id, state.item.id, signal),
      onVersion: (version) => weights.recordVersion(worker.id, model, version),
      onGap: (gapMs) => this.#workers.recordGap(worker.id, gapMs),
    });
    this.#runs.set(state, run);
    this.#suspected.recordStart(run);
    this.#workers.recordPrompt(worker.id, sharedPromptOf(state.item));
    const eventsBefore = state.text.events.length;
    const limitPerSecond = this.#options.limits.of(worker.id);
    void run.execute().then(async (end) => {
      // The run counts as one in progress until its worker has been probed, so that its batch starts no other trial.
      if (end.kind === 'broken' && !end.notConnected) {
        await this.#suspected.recordBroken(run, this.#runs.values());
      }
      this.#runs.delete(state);
      const { logger, metrics, pool } = this.#options;
      logger.info('item-run', { ...runLogFields(run, end, eventsBefore), limitPerSecond });
      metrics.itemRuns.inc({ pool, end: end.kind });
      metrics.itemRunSeconds.observe({ pool }, run.elapsedMs / 1000);
      if (!this.#closed) this.#handleRunEnd(run, end);
    });
  }

  /** Updates the item and the worker's record after a run: scores, requeues or gives up the item. */
  #handleRunEnd(run: ItemRun, end: RunEnd): void {
    const { state, worker } = run;
    this.#updateSuspicion(run, end);
    // The item's result may have been adopted from the former dispatcher during the run.
    if (state.closed) {
      this.schedule();
      return;
    }
    state.requeue(worker.id);
    const isStopped = end.kind === 'stopped';
    if (run.isSteady) state.recordSteadyRun();
    else if (isStopped && end.reason === 'stalled') state.recordStalledRun();
    if (end.kind === 'complete' || (end.kind === 'uncertain' && state.confirmEnd())) {
      this.#recordResult(worker, 'answered');
      void this.#results.score(state);
    } else if (end.kind === 'uncertain') {
      if (run.events === 0) this.#pauseWorker(worker, BROKEN_STREAM_BACKOFF_MS);
    } else if (end.kind === 'failed') {
      this.#handleItemFailure(run, end.statusCode);
    } else if (end.kind === 'not-sent') {
      state.requeue(undefined);
    } else if (end.kind === 'not-run') {
      if (!end.misdirected) state.requeue(undefined);
      this.#options.weights.recordRejection(worker.id);
      this.#pauseWorker(worker, REJECTION_BACKOFF_MS);
    } else if (end.kind === 'broken') {
      this.#recordResult(worker, 'failed');
      if (run.events === 0) this.#pauseWorker(worker, BROKEN_STREAM_BACKOFF_MS);
    } else if (isStopped && end.reason === 'stalled') {
      this.#recordResult(worker, 'silent');
    } else if (isStopped && end.reason === 'wrong-version') {
      if (state.batch.record.singleVersion) state.restartText(this.#options.term);
    }
    this.schedule();
  }

  #updateSuspicion(run: ItemRun, end: RunEnd): void {
    const isNotBegun =
      end.kind === 'not-run' ||
      end.kind === 'not-sent' ||
      (end.kind === 'broken' && end.notConnected);
    if (isNotBegun) this.#suspected.recordNotBegun(run);
    else if (end.kind === 'complete' || end.kind === 'failed') this.#suspected.recordAnswer(run);
    else if (end.kind === 'stopped' && end.reason === 'stalled') this.#suspected.recordStall(run);
    else if (end.kind !== 'broken') this.#suspected.recordOtherEnd(run);
  }

  #handleItemFailure({ state, worker }: ItemRun, statusCode: number): void {
    if (statusCode === REQUEST_FAILED_STATUS) state.recordFailure();
    const exhausted = state.failedAttempts >= state.batch.record.maxAttempts;
    if (statusCode === ITEM_UNPROCESSABLE_STATUS || exhausted) this.#results.giveUp(state);
    else this.#pauseWorker(worker, REJECTION_BACKOFF_MS);
  }

  /** Whether a worker has started again since a run began there, so that the run says nothing of it. */
  #hasRestarted({ id, startedAtMs }: RegisteredWorker): boolean {
    return (this.#options.registry.find(id)?.startedAtMs ?? startedAtMs) !== startedAtMs;
  }

  #recordResult(worker: RegisteredWorker, result: WorkerResult): void {
    if (!this.#hasRestarted(worker)) this.#workers.recordResult(worker.id, result);
  }

  #pauseWorker(worker: RegisteredWorker, forMs: number): void {
    if (this.#hasRestarted(worker)) return;
    this.#workers.pause(worker.id, forMs);
    void sleep(this.#options.clock, forMs).then(() => this.schedule());
  }

  /** Stops runs on unresponsive, slow or leaving workers, so that their items continue on other workers. */
  #checkRuns(): void {
    const { clock, weights, registry, engine, logger, pool } = this.#options;
    const runs = [...this.#runs.values()];
    stopStalledRuns(runs, this.#workers.stallMs);
    const pausedMs = Math.round(this.#observedTime.observe());
    if (pausedMs >= MIN_REPORTED_PAUSE_MS) {
      logger.warn('dispatcher-paused', { pool, pausedMs, runs: runs.length });
    }
    stopRunsOnLeavingWorkers(runs, countByWorker(runs), {
      ...{ registry, weights, workers: this.#workers },
      tokensPerEvent: engine()?.tokensPerEvent ?? 1,
      nowMs: clock.monotonicMs(),
    });
    stopSlowRuns(runs, countByWorker(runs), this.#workers, weights);
    this.schedule();
  }

  #checkpoint(): void {
    this.#batches.dropStoredItems();
    this.#options.memory.trim();
    for (const batch of this.#batches.open()) {
      const open = [...batch.items.values()].filter(
        ({ closed, text }) => !closed && text.events.length > 0,
      );
      void this.#checkpointStores.get(batch.record.id)?.write(open);
    }
  }
}
