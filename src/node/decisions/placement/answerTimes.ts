export interface MeasuredAnswer {
  readonly route: string;
  readonly worker: string;
  /** Time from sending the request to its end, in ms. */
  readonly tookMs: number;
  /** Whether the answer is complete; otherwise it would have taken longer than `tookMs`. */
  readonly complete: boolean;
}

/** Routes whose work is estimated; the one that was measured first is dropped. */
const MAX_ROUTES = 1024;

/** Relative step of the estimate of the median; about 40 answers after a change by half it is close again. */
const MEDIAN_STEP = 0.02;

/** Steps of the first answers, so that a first answer of a slow worker does not count for long. */
const FIRST_STEPS = 5;

/** Weight of the newest answer of a worker. */
const NEWEST_ANSWER_WEIGHT = 0.4;

/** Half-life of a worker's measured slowness without further answers, in ms; slow phases last for about 5 s. */
const SLOWNESS_HALF_LIFE_MS = 2000;

/** Bound on the slowness that one answer shows. */
const MAX_SLOWNESS = 16;

interface Estimate {
  medianMs: number;
  count: number;
}

interface Slowness {
  factor: number;
  atMs: number;
}

const decayed = ({ factor, atMs }: Slowness, nowMs: number): number =>
  1 + (factor - 1) * 0.5 ** ((nowMs - atMs) / SLOWNESS_HALF_LIFE_MS);

/** Measures the usual time of each route's answers at this node, and how far a worker's answers are from it. */
export class AnswerTimes {
  readonly #routes = new Map<string, Estimate>();

  readonly #workers = new Map<string, Slowness>();

  /** Records the end of a request that a worker ran. */
  record({ route, worker, tookMs, complete }: MeasuredAnswer, nowMs: number): void {
    const estimate = this.#routes.get(route);
    if (estimate === undefined) {
      if (!complete) return;
      this.#routes.set(route, { medianMs: Math.max(1, tookMs), count: 1 });
      const [oldest] = this.#routes.keys();
      if (this.#routes.size > MAX_ROUTES && oldest !== undefined) this.#routes.delete(oldest);
      return;
    }
    const factor = Math.min(MAX_SLOWNESS, tookMs / estimate.medianMs);
    if (!complete && factor <= 1) return;
    const former = this.#workers.get(worker);
    const formerFactor = former === undefined ? 1 : decayed(former, nowMs);
    this.#workers.set(worker, {
      factor: formerFactor + NEWEST_ANSWER_WEIGHT * (factor - formerFactor),
      atMs: nowMs,
    });
    if (!complete) return;
    estimate.count += 1;
    const step = Math.max(MEDIAN_STEP, 1 / (estimate.count + FIRST_STEPS));
    estimate.medianMs = Math.max(
      1,
      estimate.medianMs * (tookMs > estimate.medianMs ? 1 + step : 1 - step),
    );
  }

  /** Usual time of the route's answers, in ms; undefined before the first one. */
  usualMs(route: string): number | undefined {
    return this.#routes.get(route)?.medianMs;
  }

  /** Time of the worker's recent answers relative to the usual; 1 when none was measured recently. */
  slownessOf(worker: string, nowMs: number): number {
    const slowness = this.#workers.get(worker);
    return slowness === undefined ? 1 : decayed(slowness, nowMs);
  }

  /** Removes workers that `isKnown` rejects. */
  retain(isKnown: (worker: string) => boolean): void {
    for (const worker of this.#workers.keys()) {
      if (!isKnown(worker)) this.#workers.delete(worker);
    }
  }
}
