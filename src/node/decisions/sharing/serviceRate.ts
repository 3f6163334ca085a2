/** Weight of the newest answer in the mean time of answers: the last ten count for two thirds. */
const NEWEST_WEIGHT = 0.1;

/**
 * Rate at which this node's requests are served, by Little's law: requests in progress divided by the time each takes.
 * Unlike a count of answers it also holds right after a calm phase, when fewer requests came than could be served.
 */
export class ServiceRate {
  #meanTookMs: number | undefined;

  readonly #startedMs = new Set<{ readonly atMs: number }>();

  #startSumMs = 0;

  /** @returns the request's handle for `end` */
  begin(nowMs: number): { readonly atMs: number } {
    const started = { atMs: nowMs };
    this.#startedMs.add(started);
    this.#startSumMs += nowMs;
    return started;
  }

  end(started: { readonly atMs: number }, nowMs: number): void {
    if (!this.#startedMs.delete(started)) return;
    this.#startSumMs -= started.atMs;
    const tookMs = nowMs - started.atMs;
    this.#meanTookMs =
      this.#meanTookMs === undefined
        ? tookMs
        : this.#meanTookMs + NEWEST_WEIGHT * (tookMs - this.#meanTookMs);
  }

  /** Number of requests in progress. */
  get inProgress(): number {
    return this.#startedMs.size;
  }

  /** Time between two answers, in ms; undefined while nothing is in progress. */
  intervalMs(nowMs: number, expectedMs: number): number | undefined {
    const count = this.#startedMs.size;
    if (count === 0) return undefined;
    // Workers that have stopped to answer show in the age of what is in progress before they show in answers.
    const meanAgeMs = nowMs - this.#startSumMs / count;
    return Math.max(1, this.#meanTookMs ?? expectedMs, meanAgeMs) / count;
  }
}
