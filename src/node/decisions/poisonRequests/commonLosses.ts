interface Loss {
  readonly pool: string;
  /** Worker and its start. */
  readonly worker: string;
  readonly atMs: number;
}

/** Workers that end within this time of each other are lost for a common reason, in ms. A request waits for it to pass. */
export const COMMON_LOSS_MS = 30;

/** Time for which the end of a worker is remembered, in ms. Most workers have started again by then. */
const LOSS_TTL_MS = 5000;

/**
 * Remembers for a short time which workers ended. Several workers of a pool that end at the same time are lost for another
 * reason than a request that runs at one of them as a trial. Times are monotonic.
 */
export class CommonLosses {
  #losses: Loss[] = [];

  record(pool: string, worker: string, atMs: number): void {
    this.#losses = this.#losses.filter((loss) => atMs - loss.atMs <= LOSS_TTL_MS);
    this.#losses.push({ pool, worker, atMs });
  }

  /**
   * Number of other workers of the pool that ended at about the same time. One that ended before the trial started does not
   * count: the request may have run there.
   *
   * @param startedMs - when the trial started
   */
  countWith(pool: string, worker: string, atMs: number, startedMs: number): number {
    return new Set(
      this.#losses
        .filter(
          (loss) =>
            loss.pool === pool &&
            loss.worker !== worker &&
            loss.atMs > startedMs &&
            Math.abs(loss.atMs - atMs) <= COMMON_LOSS_MS,
        )
        .map((loss) => loss.worker),
    ).size;
  }

  /** When a worker ended a short time ago, by the first request that it broke off; undefined if it did not. */
  timeOf(worker: string): number | undefined {
    return this.#losses.find((loss) => loss.worker === worker)?.atMs;
  }

  /** Whether a worker ended a short time ago, before a time. */
  hasLost(worker: string, beforeMs = Infinity): boolean {
    return this.#losses.some((loss) => loss.worker === worker && loss.atMs < beforeMs);
  }
}
