import { itemRetrialPauseMs } from './retrialPause.ts';
import { OUTLIVE_FACTOR, survivalMs } from './survival.ts';

/** What to do with the items of a batch. `suspected`: few of them start at a time. `condemned`: none is started for now. */
export type BatchVerdict = 'unsuspected' | 'suspected' | 'condemned';

/** Number of workers that end under items of a batch before its items start one at a time. */
const MIN_ENDS_FOR_SUSPICION = 2;

/** Trials that fail within this time of each other count as one, in ms: workers of a zone are lost within it. */
const SAME_LOSS_MS = 1000;

/** Time for which a trial keeps the other items of its batch waiting at most, in ms: a first event takes about as long. */
const MAX_ALONE_MS = 1000;

interface BatchEnds {
  /** Starts of workers that ended under items of the batch since the last item that survived. */
  readonly workers: Set<string>;
  /** Longest time for which a run had lasted when its worker ended, in ms. */
  longestMs: number;
  /** Number of times at which items that had started as trials ended their workers. */
  failedTrials: number;
  lastTrialMs: number;
  /** Number of trials that ended at a silent worker. */
  stalledTrials: number;
}

/** The end of a worker under an item. */
export interface ItemWorkerEnd {
  /** Worker and its start. */
  readonly worker: string;
  /** Whether the item started as a trial of a suspected batch and had not survived. */
  readonly trial: boolean;
  /** Time for which the run had lasted, in ms. */
  readonly ranMs: number;
  readonly atMs: number;
}

/**
 * Load: a batch whose items all end their workers. Each item is held after a few ends, but a batch of 88 items took 36
 * workers with it, because each of them looked like another request.
 *
 * Evidence is what all items of a batch have in common: while workers end under its items and none has survived, the next
 * item starts alone, as a trial. Workers that are lost by chance also end at about the same time, so only an item that
 * started as a trial counts against its batch, and a batch is tried again after a pause. An item that survives clears it.
 * Times are monotonic.
 */
export class BatchSuspicion {
  readonly #ends = new Map<string, BatchEnds>();

  /** Whether no ends of workers are held against any batch. */
  get isEmpty(): boolean {
    return this.#ends.size === 0;
  }

  verdictOf(batchId: string, nowMs: number): BatchVerdict {
    const ends = this.#ends.get(batchId);
    if (ends === undefined || ends.workers.size < MIN_ENDS_FOR_SUSPICION) return 'unsuspected';
    const { failedTrials, lastTrialMs } = ends;
    const isPaused = failedTrials > 0 && nowMs - lastTrialMs < itemRetrialPauseMs(failedTrials);
    return isPaused ? 'condemned' : 'suspected';
  }

  /**
   * Number of items of a suspected batch that may be tried at the same time. Grows with the trials that were at silent
   * workers, so that a batch does not wait for one such worker after the other.
   */
  trialsAtOnce(batchId: string): number {
    return 1 + (this.#ends.get(batchId)?.stalledTrials ?? 0);
  }

  /** Time for which a run must generate to clear its batch, in ms. */
  survivalMs(batchId: string): number {
    return survivalMs(this.#ends.get(batchId)?.longestMs ?? 0);
  }

  /** Time after which an item that has not survived no longer keeps the others of a suspected batch waiting, in ms. */
  maxAloneMs(batchId: string): number {
    const { longestMs = 0 } = this.#ends.get(batchId) ?? {};
    return Math.max(MAX_ALONE_MS, Math.min(OUTLIVE_FACTOR * longestMs, 2 * MAX_ALONE_MS));
  }

  /** Records that a worker ended under an item. */
  recordEnd(batchId: string, { worker, trial, ranMs, atMs }: ItemWorkerEnd): void {
    const ends = this.#ends.get(batchId) ?? {
      ...{ workers: new Set<string>(), longestMs: 0 },
      ...{ failedTrials: 0, lastTrialMs: -Infinity, stalledTrials: 0 },
    };
    ends.workers.add(worker);
    ends.longestMs = Math.max(ends.longestMs, ranMs);
    if (trial) {
      if (atMs - ends.lastTrialMs >= SAME_LOSS_MS) ends.failedTrials += 1;
      ends.lastTrialMs = atMs;
    }
    this.#ends.set(batchId, ends);
  }

  /** Records that a trial was at a worker that is silent, but has not ended. */
  recordStall(batchId: string): void {
    const ends = this.#ends.get(batchId);
    if (ends !== undefined) ends.stalledTrials += 1;
  }

  /** Records that a worker has survived an item. Returns whether ends were held against the batch. */
  recordSurvival(batchId: string): boolean {
    return this.#ends.delete(batchId);
  }

  /** Forgets batches that have ended. */
  retain(isOpen: (batchId: string) => boolean): void {
    for (const batchId of this.#ends.keys()) if (!isOpen(batchId)) this.#ends.delete(batchId);
  }
}
