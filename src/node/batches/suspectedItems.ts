import { BatchSuspicion } from '../decisions/poisonRequests/batchSuspicion.ts';
import type { SuspicionHold } from '../decisions/items/holdReason.ts';
import type { PoisonVerdict } from '../decisions/poisonRequests/poisonRequests.ts';
import { MAX_TRIAL_MS, type PoisonGuard } from '../poison/poisonGuard.ts';
import type { Logger } from '../observability/logger.ts';
import type { BatchState } from './batchState.ts';
import type { ItemRun } from './itemRun.ts';
import type { ItemState } from './itemState.ts';

/**
 * Time from the end of a worker under an item that started as a trial to its next trial, in ms. Workers that are lost
 * together are back or replaced by then, and the results of a training step can still be in time.
 */
const ITEM_RETRIAL_MS = 4000;

export interface SuspectedItemsOptions {
  readonly pool: string;
  readonly poison: Pick<PoisonGuard, 'verdictOf' | 'recordBroken'>;
  readonly logger: Logger;
}

/** Counts the runs in progress on each worker. */
export const countByWorker = (runs: Iterable<ItemRun>): Map<string, number> => {
  const running = new Map<string, number>();
  for (const { worker } of runs) running.set(worker.id, (running.get(worker.id) ?? 0) + 1);
  return running;
};

/** Batches with a run in progress. */
export const runningBatches = (runs: readonly ItemRun[]): Set<BatchState> =>
  new Set(runs.map(({ state }) => state.batch));

/** Recognises items and batches under which workers end. */
export class SuspectedItems {
  readonly #options: SuspectedItemsOptions;

  readonly #batches = new BatchSuspicion();

  /** Runs whose item was suspected when they started. */
  readonly #trials = new WeakSet<ItemRun>();

  constructor(options: SuspectedItemsOptions) {
    this.#options = options;
  }

  verdictOf({ request }: ItemState): PoisonVerdict {
    return this.#options.poison.verdictOf(request, ITEM_RETRIAL_MS);
  }

  /** The waiting items that may start now: no condemned ones, and one at a time of a suspected batch. */
  startable(waiting: readonly ItemState[], runs: readonly ItemRun[]): ItemState[] {
    this.#recordSurvivors(runs);
    const started = runningBatches(runs);
    return waiting.filter((state) => {
      if (this.holdOf(state, started) !== undefined) return false;
      started.add(state.batch);
      return true;
    });
  }

  /**
   * Why an item may not start now; undefined if it may.
   *
   * @param started - batches with a run in progress
   */
  holdOf(state: ItemState, started: ReadonlySet<BatchState>): SuspicionHold | undefined {
    if (this.verdictOf(state) === 'condemned') return 'item-condemned';
    const verdict = this.#batches.verdictOf(state.batch.record.id);
    if (verdict === 'condemned') return 'batch-condemned';
    return verdict === 'suspected' && started.has(state.batch) ? 'batch-suspected' : undefined;
  }

  /** Records that a run starts, so that a later end of its worker counts as that of a trial if it is one. */
  recordStart(run: ItemRun): void {
    if (this.verdictOf(run.state) === 'suspected') this.#trials.add(run);
  }

  /** Holds it against an item and its batch if the worker that broke off its run has ended. */
  async recordBroken(run: ItemRun, runs: Iterable<ItemRun>): Promise<void> {
    const { poison, pool, logger } = this.#options;
    const { state, worker } = run;
    const others = [...runs].filter((other) => other !== run);
    const hasEnded = await poison.recordBroken({
      ...{ request: state.request, worker, pool, trial: this.#trials.has(run) },
      others: countByWorker(others).get(worker.id) ?? 0,
    });
    if (!hasEnded) return;
    const { id } = state.batch.record;
    const before = this.#batches.verdictOf(id);
    const isAlone = others.every((other) => other.state.batch !== state.batch);
    this.#batches.recordEnd(id, `${worker.id}@${worker.startedAtMs}`, isAlone);
    const verdict = this.#batches.verdictOf(id);
    if (verdict === before) return;
    logger.warn('batch-suspicion-changed', { batch: id, pool, verdict, before, isAlone });
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

  /** Clears batches with an item that a worker generates without ending. */
  #recordSurvivors(runs: readonly ItemRun[]): void {
    for (const { elapsedMs, events, state } of runs) {
      const survives = elapsedMs > MAX_TRIAL_MS && events > 0;
      const { id } = state.batch.record;
      if (survives && this.#batches.recordSurvival(id)) {
        this.#options.logger.info('batch-suspicion-cleared', { batch: id, item: state.item.id });
      }
    }
  }
}
