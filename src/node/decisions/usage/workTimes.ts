/** Weight of the newest observation. */
const NEWEST_WEIGHT = 0.1;

/** Maximum number of routes whose work times are kept; the oldest is dropped. */
const MAX_ROUTES = 256;

/** Estimates how long workers work on a request of a route, to tell when a worker that queues requests began with one. */
export class WorkTimes {
  readonly #meansMs = new Map<string, number>();

  /**
   * Records an attempt.
   *
   * @param tookMs - time from sending the request to the head of its response, in ms
   * @param waiting - requests that the worker reported as waiting; undefined where it reports no load
   */
  observe(route: string, tookMs: number, waiting: number | undefined): void {
    if (waiting !== undefined && waiting > 0) return;
    const meanMs = this.#meansMs.get(route);
    const [oldest] = this.#meansMs.keys();
    if (meanMs === undefined && this.#meansMs.size >= MAX_ROUTES && oldest !== undefined) {
      this.#meansMs.delete(oldest);
    }
    this.#meansMs.set(
      route,
      meanMs === undefined ? tookMs : meanMs + NEWEST_WEIGHT * (tookMs - meanMs),
    );
  }

  /** Time before the head of the response at which the worker likely began, in ms; at most `tookMs`. */
  sinceBeginMs(route: string, tookMs: number): number {
    return Math.min(tookMs, this.#meansMs.get(route) ?? tookMs);
  }
}
