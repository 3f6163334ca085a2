/** What to do with the items of a batch. `suspected`: they start one at a time. `condemned`: none is started for now. */
export type BatchVerdict = 'unsuspected' | 'suspected' | 'condemned';

/** Number of workers that end under items of a batch before its items start one at a time. */
const MIN_ENDS_FOR_SUSPICION = 2;

/**
 * Time from the first failed trial of a batch to its second one, in ms. Workers that are lost together are back or replaced
 * by then, and the results of a training step can still be in time.
 */
export const BATCH_RETRIAL_MS = 4000;

/** Number of failed trials after which no item of a batch is started any more. */
const MAX_FAILED_TRIALS = 2;

interface BatchEnds {
  /** Starts of workers that ended under items of the batch since the last item that survived. */
  readonly workers: Set<string>;
  /** Number of items that started as the only one of a suspected batch and whose worker ended. */
  failedTrials: number;
  lastTrialMs: number;
}

/**
 * Load: a batch whose items all end their workers. Each item is held after a few ends, but a batch of 88 items took 36
 * workers with it, because each of them looked like another request.
 *
 * Evidence is what all items of a batch have in common: while workers end under its items and none has survived, the next
 * item starts alone, as a trial. Workers that are lost by chance also end at about the same time, so only an item that
 * started as a trial counts against its batch, and a batch is tried once more after a pause. An item that survives clears
 * it. Times are monotonic.
 */
export class BatchSuspicion {
  readonly #ends = new Map<string, BatchEnds>();

  verdictOf(batchId: string, nowMs: number): BatchVerdict {
    const ends = this.#ends.get(batchId);
    if (ends === undefined || ends.workers.size < MIN_ENDS_FOR_SUSPICION) return 'unsuspected';
    if (ends.failedTrials >= MAX_FAILED_TRIALS) return 'condemned';
    const isPaused = ends.failedTrials > 0 && nowMs - ends.lastTrialMs < BATCH_RETRIAL_MS;
    return isPaused ? 'condemned' : 'suspected';
  }

  /**
   * Records that a worker ended under an item that had not survived there.
   *
   * @param worker - worker and its start
   * @param trial - whether the item started as the only one of a suspected batch
   */
  recordEnd(batchId: string, worker: string, trial: boolean, nowMs: number): void {
    const ends = this.#ends.get(batchId) ?? {
      workers: new Set<string>(),
      failedTrials: 0,
      lastTrialMs: -Infinity,
    };
    ends.workers.add(worker);
    if (trial) {
      ends.failedTrials += 1;
      ends.lastTrialMs = nowMs;
    }
    this.#ends.set(batchId, ends);
  }

  /** Records that a worker has generated a part of an item and goes on. Returns whether ends were held against the batch. */
  recordSurvival(batchId: string): boolean {
    return this.#ends.delete(batchId);
  }

  /** Forgets batches that have ended. */
  retain(isOpen: (batchId: string) => boolean): void {
    for (const batchId of this.#ends.keys()) if (!isOpen(batchId)) this.#ends.delete(batchId);
  }
}
