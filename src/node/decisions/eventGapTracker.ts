/**
 * Time over which gaps are averaged, in ms. Events that are read together have one long gap and then none, so that an
 * average over a number of gaps would depend on where in such a group it ends.
 */
const AVERAGING_MS = 250;

/** Number of gaps from which a worker's average is used. */
const MIN_GAPS = 3;

/** A worker is slow if its average gap exceeds the pool's median by this factor. */
const SLOW_FACTOR = 1.6;

/** Age at which a measurement expires, in ms. A slow worker that gets no work is then tried again. */
const MAX_MEASUREMENT_AGE_MS = 3000;

interface GapAverage {
  /** Sum of the gaps and their number, both decayed exponentially with their age. */
  sumMs: number;
  weight: number;
  gaps: number;
  measuredMs: number;
}

const averageOf = ({ sumMs, weight }: GapAverage): number => sumMs / weight;

/**
 * Measures how fast each worker generates, by the gaps between the events of its runs. All runs of a worker advance
 * together, so each run measures the same speed.
 */
export class EventGapTracker {
  readonly #records = new Map<string, GapAverage>();

  /** Median gap of the pool, in ms; the last value is kept while no worker has a current measurement. */
  #medianGapMs: number | undefined;

  /** Records the time between two consecutive events of one run. */
  record(worker: string, gapMs: number, nowMs: number): void {
    const known = this.#records.get(worker);
    if (known === undefined || nowMs - known.measuredMs > MAX_MEASUREMENT_AGE_MS) {
      this.#records.set(worker, { sumMs: gapMs, weight: 1, gaps: 1, measuredMs: nowMs });
    } else {
      const decay = Math.exp((known.measuredMs - nowMs) / AVERAGING_MS);
      known.sumMs = decay * known.sumMs + gapMs;
      known.weight = decay * known.weight + 1;
      known.gaps += 1;
      known.measuredMs = nowMs;
    }
    this.#medianGapMs = this.#currentMedian(nowMs) ?? this.#medianGapMs;
  }

  /** Median gap between two events in the pool, in ms; undefined before the first measurement. */
  get medianGapMs(): number | undefined {
    return this.#medianGapMs;
  }

  /** A worker's average gap relative to the pool's median; 1 while it is unknown. */
  slowdownOf(worker: string, nowMs: number): number {
    const record = this.#records.get(worker);
    const isKnown =
      record !== undefined &&
      record.gaps >= MIN_GAPS &&
      nowMs - record.measuredMs < MAX_MEASUREMENT_AGE_MS;
    if (!isKnown || this.#medianGapMs === undefined) return 1;
    return averageOf(record) / this.#medianGapMs;
  }

  isSlow(worker: string, nowMs: number): boolean {
    return this.slowdownOf(worker, nowMs) > SLOW_FACTOR;
  }

  /** Removes workers that `isKnown` rejects. */
  retain(isKnown: (worker: string) => boolean): void {
    for (const worker of this.#records.keys()) {
      if (!isKnown(worker)) this.#records.delete(worker);
    }
  }

  #currentMedian(nowMs: number): number | undefined {
    const gaps = [...this.#records.values()]
      .filter(
        ({ gaps: count, measuredMs }) =>
          count >= MIN_GAPS && nowMs - measuredMs < MAX_MEASUREMENT_AGE_MS,
      )
      .map(averageOf)
      .sort((left, right) => left - right);
    // The lower median: if one of two workers is slow, the other one is the reference.
    return gaps[Math.floor((gaps.length - 1) / 2)];
  }
}
