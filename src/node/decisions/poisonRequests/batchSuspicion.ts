/** What to do with the items of a batch. `suspected`: one of them runs at a time. `condemned`: none is started any more. */
export type BatchVerdict = 'unsuspected' | 'suspected' | 'condemned';

/** Number of workers that end under items of a batch before its items run one at a time. */
const MIN_ENDS_FOR_SUSPICION = 2;

/** The same number before its last item is not started any more, if the last of them ended under an item that ran alone. */
const MIN_ENDS_FOR_CONDEMNATION = 3;

interface BatchEnds {
  /** Starts of workers that ended under items of the batch since the last item that survived. */
  readonly workers: Set<string>;
  /** Whether one of them ended while a single item of the batch ran. */
  endedAlone: boolean;
}

/**
 * Load: a batch whose items all end their workers. Each item is held after a few ends, but a batch of 88 items took 36
 * workers with it, because each of them looked like another request.
 *
 * Evidence is what all items of a batch have in common: while workers end under its items and none has survived, the next
 * item runs alone. A single item that survives clears the batch, so that the crash of a zone delays a batch by one start.
 */
export class BatchSuspicion {
  readonly #ends = new Map<string, BatchEnds>();

  verdictOf(batchId: string): BatchVerdict {
    const ends = this.#ends.get(batchId);
    if (ends === undefined || ends.workers.size < MIN_ENDS_FOR_SUSPICION) return 'unsuspected';
    const isCondemned = ends.endedAlone && ends.workers.size >= MIN_ENDS_FOR_CONDEMNATION;
    return isCondemned ? 'condemned' : 'suspected';
  }

  /**
   * Records that a worker ended under an item.
   *
   * @param worker - worker and its start
   * @param wasAlone - whether no other item of the batch ran when the worker ended
   */
  recordEnd(batchId: string, worker: string, wasAlone: boolean): void {
    const ends = this.#ends.get(batchId) ?? { workers: new Set<string>(), endedAlone: false };
    const wasSuspected = this.verdictOf(batchId) === 'suspected';
    ends.workers.add(worker);
    ends.endedAlone ||= wasSuspected && wasAlone;
    this.#ends.set(batchId, ends);
  }

  /** Records that a worker has generated a part of an item and goes on. Returns whether that cleared the batch. */
  recordSurvival(batchId: string): boolean {
    return this.verdictOf(batchId) === 'condemned' ? false : this.#ends.delete(batchId);
  }

  /** Forgets batches that have ended. */
  retain(isOpen: (batchId: string) => boolean): void {
    for (const batchId of this.#ends.keys()) if (!isOpen(batchId)) this.#ends.delete(batchId);
  }
}
