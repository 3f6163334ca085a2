/** Time for which an item of an open batch may be at no worker while workers have free slots, in ms (rule LOST). */
const MAX_IDLE_MS = 5000;

/** A run that ends within this time without the end of its text does not count as one, in ms (rule LOST). */
const MIN_RUN_MS = 1000;

/** Interval between two checks, in ms. */
const CHECK_INTERVAL_MS = 100;

/** The items of an open batch that have no result yet. */
export interface OpenBatch {
  readonly id: string;
  readonly acceptedMs: number;
  readonly missingItems: readonly string[];
}

/** Runs of items, over all workers. */
export class ItemRuns {
  /** Items that were at no worker for too long. */
  readonly violations: string[] = [];

  /** Start of the current runs, in ms, by item. */
  readonly #running = new Map<string, number[]>();

  /** End of the last run, in ms, by item. */
  readonly #endedMs = new Map<string, number>();

  readonly #finished = new Set<string>();

  readonly #reported = new Set<string>();

  get runningCount(): number {
    return [...this.#running.values()].reduce((sum, { length }) => sum + length, 0);
  }

  begin(item: string): void {
    this.#running.set(item, [...(this.#running.get(item) ?? []), performance.now()]);
  }

  /** @param isFinished - whether the worker sent the text to its end */
  end(item: string, isFinished: boolean): void {
    const [startMs = 0, ...others] = this.#running.get(item) ?? [];
    if (others.length > 0) this.#running.set(item, others);
    else this.#running.delete(item);
    if (isFinished) this.#finished.add(item);
    const nowMs = performance.now();
    if (nowMs - startMs >= MIN_RUN_MS) this.#endedMs.set(item, nowMs);
  }

  /**
   * Reports items that no worker has finished and that are at no worker for 5 s, until `signal` is aborted.
   *
   * @param mustRun - whether waiting items must be started now
   */
  watch(
    openBatches: () => readonly OpenBatch[],
    mustRun: () => boolean,
    signal: AbortSignal,
  ): void {
    let sinceMs = performance.now();
    const timer = setInterval(() => {
      const nowMs = performance.now();
      if (!mustRun()) sinceMs = nowMs;
      if (nowMs - sinceMs < MAX_IDLE_MS) return;
      for (const batch of openBatches()) this.#check(batch, nowMs, sinceMs);
    }, CHECK_INTERVAL_MS);
    signal.addEventListener('abort', () => clearInterval(timer));
  }

  #check({ id, acceptedMs, missingItems }: OpenBatch, nowMs: number, sinceMs: number): void {
    for (const item of missingItems) {
      const idleMs = nowMs - Math.max(sinceMs, acceptedMs, this.#endedMs.get(item) ?? 0);
      const isIdle = idleMs > MAX_IDLE_MS && !this.#running.has(item) && !this.#finished.has(item);
      if (!isIdle || this.#reported.has(`${id} ${item}`)) continue;
      this.#reported.add(`${id} ${item}`);
      this.violations.push(
        `item ${item} of batch ${id} was at no worker for ${idleMs.toFixed()} ms`,
      );
    }
  }
}
