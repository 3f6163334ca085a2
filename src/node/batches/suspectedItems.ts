import type { Clock } from '../../shared/clock.ts';
import type { SuspicionHold } from '../decisions/items/holdReason.ts';
import type { PlacementWorker, WaitingItem } from '../decisions/items/itemPlacement.ts';
import { BatchSuspicion, type BatchVerdict } from '../decisions/poisonRequests/batchSuspicion.ts';
import type { PoisonVerdict } from '../decisions/poisonRequests/poisonRequests.ts';
import { itemRetrialPauseMs } from '../decisions/poisonRequests/retrialPause.ts';
import { MAX_SURVIVAL_MS, survivalMs } from '../decisions/poisonRequests/survival.ts';
import {
  MIN_ENDS_TO_RUN_ALONE,
  type Trial,
  TrialWindows,
} from '../decisions/poisonRequests/trialWindows.ts';
import type { Logger } from '../observability/logger.ts';
import { type PoisonGuard, startOf } from '../poison/poisonGuard.ts';
import type { BatchState } from './batchState.ts';
import type { ItemRun } from './itemRun.ts';
import type { ItemState } from './itemState.ts';

/** What a run tries. */
interface RunTrial {
  /** Trial of its item; undefined if the item is not suspected. */
  readonly ofItem: Trial | undefined;
  /** Whether it tries its batch. */
  readonly ofBatch: boolean;
}

export interface SuspectedItemsOptions {
  readonly pool: string;
  readonly poison: Pick<
    PoisonGuard,
    | 'hasSuspects'
    | 'verdictOf'
    | 'endsOf'
    | 'sinceLastEndMs'
    | 'recordAnswer'
    | 'recordBroken'
    | 'isCommonLoss'
  >;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Counts the runs in progress on each worker. */
export const countByWorker = (runs: Iterable<ItemRun>): Map<string, number> => {
  const running = new Map<string, number>();
  for (const { worker } of runs) running.set(worker.id, (running.get(worker.id) ?? 0) + 1);
  return running;
};

/** Whether the worker of a run has generated a part of the item for some time. */
const hasSurvived = ({ elapsedMs, events }: ItemRun, forMs: number): boolean =>
  elapsedMs > forMs && events > 0;

/**
 * Recognises items and batches under which workers end. What is condemned is tried again after a pause, when a later batch
 * carries the item, and when the results of its batch are due: what ended the workers may have been mended since, and the
 * step can still be completed before its trainer gives it up.
 */
export class SuspectedItems {
  readonly #options: SuspectedItemsOptions;

  readonly #batches = new BatchSuspicion();

  readonly #windows = new TrialWindows();

  readonly #trials = new WeakMap<ItemRun, RunTrial>();

  /** Longest time for which a run of the item had lasted when its worker ended, in ms. */
  readonly #longestMs = new WeakMap<ItemState, number>();

  /** Items whose worker was last lost together with others, so that it ended for another reason than one of its items. */
  readonly #lostInCommon = new WeakSet<ItemState>();

  /** Monotonic time at which the results of a batch are due, in ms. */
  readonly #dueMs = new WeakMap<BatchState, number>();

  /** Items that a worker has begun to run. */
  readonly #begun = new WeakSet<ItemState>();

  /** Items and batches that a worker has begun to run since the results of the batch are due. */
  readonly #begunWhenDue = new WeakSet<ItemState | BatchState>();

  constructor(options: SuspectedItemsOptions) {
    this.#options = options;
  }

  /**
   * Records a new batch.
   *
   * @param isNew - whether it was submitted just now, so that the clock of the node that accepted it does not matter
   */
  recordBatch(batch: BatchState, isNew: boolean): void {
    const { clock } = this.#options;
    const { submittedAtMs, resultDeadlineMs } = batch.record;
    if (resultDeadlineMs === 0) return;
    const ageMs = isNew ? 0 : clock.nowMs() - Number(submittedAtMs);
    const dueInMs = Math.min(resultDeadlineMs, Math.max(0, resultDeadlineMs - ageMs));
    this.#dueMs.set(batch, clock.monotonicMs() + dueInMs);
  }

  /** Whether neither items nor batches are suspected. */
  get isCalm(): boolean {
    return !this.#options.poison.hasSuspects && this.#batches.isEmpty;
  }

  /** The waiting items that may start now: no condemned ones, and few at a time of a suspected batch. */
  startable(waiting: readonly ItemState[], runs: readonly ItemRun[]): ItemState[] {
    this.#recordSurvivors(runs);
    const started = this.youngRuns(runs);
    return this.#leastTriedFirst(waiting).filter((state) => {
      if (this.holdOf(state, started) !== undefined) return false;
      started.set(state.batch, (started.get(state.batch) ?? 0) + 1);
      return true;
    });
  }

  /** Puts the items of suspected batches in an order in which each gets its turn. */
  #leastTriedFirst(waiting: readonly ItemState[]): readonly ItemState[] {
    const isSuspected = ({ batch }: ItemState) => this.#verdictOfBatch(batch) === 'suspected';
    if (!waiting.some(isSuspected)) return waiting;
    const endsOf = new Map(
      waiting.map((state) => [state, this.#options.poison.endsOf(state.request)]),
    );
    return [...waiting].sort((left, right) => (endsOf.get(left) ?? 0) - (endsOf.get(right) ?? 0));
  }

  /** Number of runs, by batch, for which the other items of the batch wait if it is suspected. */
  youngRuns(runs: readonly ItemRun[]): Map<BatchState, number> {
    const young = new Map<BatchState, number>();
    for (const { elapsedMs, state } of runs) {
      if (elapsedMs < this.#batches.maxAloneMs(state.batch.record.id)) {
        young.set(state.batch, (young.get(state.batch) ?? 0) + 1);
      }
    }
    return young;
  }

  /**
   * Why an item may not start now; undefined if it may.
   *
   * @param started - number of runs that have just started, by batch
   */
  holdOf(state: ItemState, started: ReadonlyMap<BatchState, number>): SuspicionHold | undefined {
    if (this.#verdictOf(state) === 'condemned') return 'item-condemned';
    const { batch } = state;
    const verdict = this.#verdictOfBatch(batch);
    if (verdict === 'condemned') return 'batch-condemned';
    const isFull = (started.get(batch) ?? 0) >= this.#batches.trialsAtOnce(batch.record.id);
    return verdict === 'suspected' && isFull ? 'batch-suspected' : undefined;
  }

  /** How an item must be placed because workers ended under it. */
  suspicionOf(state: ItemState): WaitingItem['suspicion'] {
    if (this.#verdictOf(state) !== 'suspected') return undefined;
    const { poison } = this.#options;
    const isWeak =
      this.#lostInCommon.has(state) && poison.endsOf(state.request) < MIN_ENDS_TO_RUN_ALONE;
    return isWeak ? 'weak' : 'strong';
  }

  /** Room for suspected items at a worker. */
  trialsAt(worker: string): Pick<PlacementWorker, 'trialRoom' | 'hasYoungTrial'> {
    return {
      trialRoom: this.#windows.roomAt(worker),
      hasYoungTrial: this.#windows.hasYoungAt(worker),
    };
  }

  /** Records that a run starts, so that a later end of its worker counts as that of a trial if it is one. */
  recordStart(run: ItemRun): void {
    const { state, worker } = run;
    const ofBatch = this.#verdictOfBatch(state.batch) === 'suspected';
    const isSuspected = this.#verdictOf(state) === 'suspected';
    const ofItem = isSuspected ? this.#windows.start(worker.id) : undefined;
    if (isSuspected || ofBatch) this.#trials.set(run, { ofItem, ofBatch });
    this.#begun.add(state);
    if (this.#isDue(state.batch)) this.#begunWhenDue.add(state).add(state.batch);
  }

  /** Records that a run ended without reaching its worker, so that it counts as no attempt of its item. */
  recordNotBegun(run: ItemRun): void {
    this.#begun.delete(run.state);
    this.#begunWhenDue.delete(run.state);
    this.#begunWhenDue.delete(run.state.batch);
    this.#endTrial(run);
  }

  /** Holds it against an item and its batch if the worker that broke off its run has ended. */
  async recordBroken(run: ItemRun, runs: Iterable<ItemRun>): Promise<void> {
    const { poison, pool, clock, logger } = this.#options;
    const { state, worker, elapsedMs } = run;
    const { ofItem, ofBatch = false } = this.#trials.get(run) ?? {};
    // A run of this length clears the item in any case, so ends that come later are not held against it.
    const hasOutlived = hasSurvived(run, MAX_SURVIVAL_MS);
    const survived = hasSurvived(run, this.#survivalMs(state));
    const survivedBatch = hasSurvived(run, this.#batches.survivalMs(state.batch.record.id));
    const startedMs = clock.monotonicMs() - elapsedMs;
    const others = [...runs].filter((other) => other !== run);
    const hasEnded = await poison.recordBroken({
      ...{ request: state.request, worker, pool },
      trial: !survived && (ofItem?.isAlone ?? false),
      startedMs,
      others: countByWorker(others).get(worker.id) ?? 0,
      hasOutlived,
    });
    if (!hasEnded) {
      this.#endTrial(run);
      return;
    }
    this.#windows.reset(worker.id);
    if (hasOutlived) return;
    this.#longestMs.set(state, Math.max(this.#longestMs.get(state) ?? 0, elapsedMs));
    const { id } = state.batch.record;
    const isCommonLoss = await poison.isCommonLoss(pool, worker, startedMs);
    if (isCommonLoss) this.#lostInCommon.add(state);
    else this.#lostInCommon.delete(state);
    const trial = ofBatch && !survivedBatch && !isCommonLoss;
    const before = this.#verdictOfBatch(state.batch);
    this.#batches.recordEnd(id, {
      ...{ worker: startOf(worker), trial },
      ...{ ranMs: elapsedMs, atMs: clock.monotonicMs() },
    });
    const verdict = this.#verdictOfBatch(state.batch);
    if (verdict === before) return;
    logger.warn('batch-suspicion-changed', { batch: id, pool, verdict, before, trial });
  }

  /** Clears an item that a worker has answered, and its batch. */
  recordAnswer(run: ItemRun): void {
    this.#clearItem(run);
    this.#clearBatch(run);
  }

  /** Records that a run was stopped at a worker that is silent, but has not ended. */
  recordStall(run: ItemRun): void {
    if (this.#trials.get(run)?.ofBatch) this.#batches.recordStall(run.state.batch.record.id);
    this.#endTrial(run);
  }

  /** Records that a run was stopped or ended for a reason that says nothing of its item. */
  recordOtherEnd(run: ItemRun): void {
    this.#endTrial(run);
  }

  /** Forgets batches that have ended. */
  retainBatches(isOpen: (batchId: string) => boolean): void {
    this.#batches.retain(isOpen);
  }

  /** Clears items and batches that have survived at a worker. */
  #recordSurvivors(runs: readonly ItemRun[]): void {
    for (const run of runs) {
      if (hasSurvived(run, this.#survivalMs(run.state))) this.#clearItem(run);
      const { id } = run.state.batch.record;
      if (hasSurvived(run, this.#batches.survivalMs(id))) this.#clearBatch(run);
    }
  }

  #survivalMs(state: ItemState): number {
    return survivalMs(this.#longestMs.get(state) ?? 0);
  }

  #clearItem(run: ItemRun): void {
    const trial = this.#trials.get(run)?.ofItem;
    if (trial !== undefined) this.#windows.pass(run.worker.id, trial);
    this.#longestMs.delete(run.state);
    if (this.#verdictOf(run.state) !== 'unsuspected') {
      this.#options.poison.recordAnswer(run.state.request);
    }
  }

  #clearBatch({ state: { batch, item } }: ItemRun): void {
    const { id } = batch.record;
    if (!this.#batches.recordSurvival(id)) return;
    this.#options.logger.info('batch-suspicion-cleared', { batch: id, item: item.id });
  }

  #endTrial(run: ItemRun): void {
    const trial = this.#trials.get(run)?.ofItem;
    if (trial !== undefined) this.#windows.end(run.worker.id, trial);
  }

  #verdictOf(state: ItemState): PoisonVerdict {
    const { poison } = this.#options;
    const verdict = poison.verdictOf(state.request, itemRetrialPauseMs);
    if (verdict !== 'condemned') return verdict;
    const isFirstRun = !this.#begun.has(state);
    const mayStart =
      (isFirstRun && poison.sinceLastEndMs(state.request) >= itemRetrialPauseMs(1)) ||
      (this.#isDue(state.batch) && !this.#begunWhenDue.has(state));
    return mayStart ? 'suspected' : 'condemned';
  }

  #verdictOfBatch(batch: BatchState): BatchVerdict {
    const verdict = this.#batches.verdictOf(batch.record.id, this.#options.clock.monotonicMs());
    const isLastChance = this.#isDue(batch) && !this.#begunWhenDue.has(batch);
    return verdict === 'condemned' && isLastChance ? 'suspected' : verdict;
  }

  #isDue(batch: BatchState): boolean {
    return this.#options.clock.monotonicMs() >= (this.#dueMs.get(batch) ?? Infinity);
  }
}
