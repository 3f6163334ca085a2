import type { Clock } from '../../shared/clock.ts';
import { BatchSuspicion, type BatchVerdict } from '../decisions/poisonRequests/batchSuspicion.ts';
import type { SuspicionHold } from '../decisions/items/holdReason.ts';
import type { PoisonVerdict } from '../decisions/poisonRequests/poisonRequests.ts';
import { MAX_TRIAL_MS, type PoisonGuard } from '../poison/poisonGuard.ts';
import type { Logger } from '../observability/logger.ts';
import type { BatchState } from './batchState.ts';
import type { ItemRun } from './itemRun.ts';
import type { ItemState } from './itemState.ts';

/**
 * Longest time for which an item of a suspected batch keeps the others from starting, in ms. The worker may be silent, or
 * busy with other items.
 */
const MAX_ALONE_MS = 1000;

/**
 * Time from the end of a worker under an item that started as a trial to its next trial, in ms. Workers that are lost
 * together are back or replaced by then, and the results of a training step can still be in time.
 */
const ITEM_RETRIAL_MS = 4000;

/** What is tried by a run: whether its item, or its batch, ends workers. */
interface Trial {
  readonly ofItem: boolean;
  readonly ofBatch: boolean;
}

export interface SuspectedItemsOptions {
  readonly pool: string;
  readonly poison: Pick<PoisonGuard, 'verdictOf' | 'recordAnswer' | 'recordBroken'>;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Counts the runs in progress on each worker. */
export const countByWorker = (runs: Iterable<ItemRun>): Map<string, number> => {
  const running = new Map<string, number>();
  for (const { worker } of runs) running.set(worker.id, (running.get(worker.id) ?? 0) + 1);
  return running;
};

/** Batches with an item that has started so recently that, if the batch is suspected, its other items wait for it. */
export const justStartedBatches = (runs: readonly ItemRun[]): Set<BatchState> =>
  new Set(runs.filter(({ elapsedMs }) => elapsedMs < MAX_ALONE_MS).map(({ state }) => state.batch));

/** Whether the worker of a run has generated a part of the item, so that the item does not end workers as it starts. */
const hasSurvived = ({ elapsedMs, events }: ItemRun): boolean =>
  elapsedMs > MAX_TRIAL_MS && events > 0;

/** Recognises items and batches under which workers end. */
export class SuspectedItems {
  readonly #options: SuspectedItemsOptions;

  readonly #batches = new BatchSuspicion();

  readonly #trials = new WeakMap<ItemRun, Trial>();

  /** Items and batches that were started after the results of the batch were due. */
  readonly #triedWhenDue = new WeakSet<ItemState | BatchState>();

  constructor(options: SuspectedItemsOptions) {
    this.#options = options;
  }

  /**
   * What to do with an item. A condemned item is tried once more when the results of its batch are due: what ended the
   * workers may have been mended since, and its step can still be completed before the trainer gives it up.
   */
  verdictOf(state: ItemState): PoisonVerdict {
    const verdict = this.#options.poison.verdictOf(state.request, ITEM_RETRIAL_MS);
    return verdict === 'condemned' && this.#isLastChance(state, state.batch)
      ? 'suspected'
      : verdict;
  }

  /** The waiting items that may start now: no condemned ones, and one at a time of a suspected batch. */
  startable(waiting: readonly ItemState[], runs: readonly ItemRun[]): ItemState[] {
    this.#recordSurvivors(runs);
    const started = justStartedBatches(runs);
    return waiting.filter((state) => {
      if (this.holdOf(state, started) !== undefined) return false;
      started.add(state.batch);
      return true;
    });
  }

  /**
   * Why an item may not start now; undefined if it may.
   *
   * @param started - batches with an item that has just started
   */
  holdOf(state: ItemState, started: ReadonlySet<BatchState>): SuspicionHold | undefined {
    if (this.verdictOf(state) === 'condemned') return 'item-condemned';
    const verdict = this.#verdictOfBatch(state.batch);
    if (verdict === 'condemned') return 'batch-condemned';
    return verdict === 'suspected' && started.has(state.batch) ? 'batch-suspected' : undefined;
  }

  /** Records that a run starts, so that a later end of its worker counts as that of a trial if it is one. */
  recordStart(run: ItemRun): void {
    const ofItem = this.verdictOf(run.state) === 'suspected';
    const ofBatch = this.#verdictOfBatch(run.state.batch) === 'suspected';
    if (ofItem || ofBatch) this.#trials.set(run, { ofItem, ofBatch });
    if (!this.#isDue(run.state.batch)) return;
    this.#triedWhenDue.add(run.state).add(run.state.batch);
  }

  /**
   * Holds it against an item and its batch if the worker that broke off its run has ended. A worker that had generated a
   * part of the item ended for another reason: if the item were the cause, its next run would make no progress.
   */
  async recordBroken(run: ItemRun, runs: Iterable<ItemRun>): Promise<void> {
    const { poison, pool, clock, logger } = this.#options;
    if (hasSurvived(run)) return;
    const { state, worker } = run;
    const { ofItem = false, ofBatch = false } = this.#trials.get(run) ?? {};
    const others = [...runs].filter((other) => other !== run);
    const hasEnded = await poison.recordBroken({
      ...{ request: state.request, worker, pool, trial: ofItem },
      others: countByWorker(others).get(worker.id) ?? 0,
    });
    if (!hasEnded) return;
    const { id } = state.batch.record;
    const before = this.#verdictOfBatch(state.batch);
    const workerStart = `${worker.id}@${worker.startedAtMs}`;
    this.#batches.recordEnd(id, workerStart, ofBatch, clock.monotonicMs());
    const verdict = this.#verdictOfBatch(state.batch);
    if (verdict === before) return;
    logger.warn('batch-suspicion-changed', { batch: id, pool, verdict, before, trial: ofBatch });
  }

  /** Clears an item that a worker has answered, and its batch. */
  recordAnswer({ state }: ItemRun): void {
    this.#options.poison.recordAnswer(state.request);
    this.#clearBatch(state);
  }

  /** Clears a batch whose trial was at a silent worker, so that the batch does not wait for one such worker after another. */
  recordStall(run: ItemRun): void {
    if (this.#trials.get(run)?.ofBatch) this.#clearBatch(run.state);
  }

  /** Forgets batches that have ended. */
  retainBatches(isOpen: (batchId: string) => boolean): void {
    this.#batches.retain(isOpen);
  }

  /** Workers on which a suspected item has started so recently that it may still end them. */
  recentWorkers(runs: Iterable<ItemRun>): Set<string> {
    return new Set(
      [...runs]
        .filter(({ elapsedMs }) => elapsedMs < MAX_TRIAL_MS)
        .filter(({ state }) => this.verdictOf(state) === 'suspected')
        .map(({ worker }) => worker.id),
    );
  }

  /** Clears items of which a worker has generated a part, and their batches. */
  #recordSurvivors(runs: readonly ItemRun[]): void {
    for (const run of runs) {
      if (hasSurvived(run)) {
        if (this.verdictOf(run.state) === 'unsuspected') this.#clearBatch(run.state);
        else this.recordAnswer(run);
      } else if (run.elapsedMs > MAX_ALONE_MS) this.recordStall(run);
    }
  }

  #clearBatch({ batch, item }: ItemState): void {
    const { id } = batch.record;
    if (!this.#batches.recordSurvival(id)) return;
    this.#options.logger.info('batch-suspicion-cleared', { batch: id, item: item.id });
  }

  #verdictOfBatch(batch: BatchState): BatchVerdict {
    const verdict = this.#batches.verdictOf(batch.record.id, this.#options.clock.monotonicMs());
    return verdict === 'condemned' && this.#isLastChance(batch, batch) ? 'suspected' : verdict;
  }

  /** Whether an item or batch has not been started since the results of the batch are due. */
  #isLastChance(tried: ItemState | BatchState, batch: BatchState): boolean {
    return this.#isDue(batch) && !this.#triedWhenDue.has(tried);
  }

  #isDue({ record }: BatchState): boolean {
    const dueMs = Number(record.submittedAtMs) + record.resultDeadlineMs;
    return record.resultDeadlineMs > 0 && this.#options.clock.nowMs() >= dueMs;
  }
}
