/** Weight of the newest gap between two events; about the last four count. */
const GAP_WEIGHT = 0.4;

/** Gaps after which a worker's pace is known. */
const MIN_GAPS = 3;

/** A worker whose events take this many times as long as the pool's usual is slow. */
const SLOW_FACTOR = 1.6;

/** Time after which a measured pace no longer counts, in ms: a slow worker that gets no work is then tried again. */
const PACE_AGE_MS = 3000;

interface PaceRecord {
  gapMs: number;
  gaps: number;
  measuredMs: number;
}

/**
 * How fast each worker generates, by the time between the events of its runs. All runs of a worker advance together, so
 * every run measures the same pace.
 */
export class WorkerPace {
  readonly #records = new Map<string, PaceRecord>();

  /** Usual gap of the pool, in ms; kept while few workers are busy. */
  #usualGapMs: number | undefined;

  /** Records the time between two consecutive events of one run. */
  record(worker: string, gapMs: number, nowMs: number): void {
    const known = this.#records.get(worker);
    if (known === undefined || nowMs - known.measuredMs > PACE_AGE_MS) {
      this.#records.set(worker, { gapMs, gaps: 1, measuredMs: nowMs });
    } else {
      known.gapMs += GAP_WEIGHT * (gapMs - known.gapMs);
      known.gaps += 1;
      known.measuredMs = nowMs;
    }
    this.#usualGapMs = this.#median(nowMs) ?? this.#usualGapMs;
  }

  /** Usual time between two events in the pool, in ms; undefined until it was measured. */
  get usualGapMs(): number | undefined {
    return this.#usualGapMs;
  }

  /** Time a worker takes for an event as a factor of the pool's usual; 1 when it is not known. */
  factorOf(worker: string, nowMs: number): number {
    const record = this.#records.get(worker);
    const isKnown =
      record !== undefined && record.gaps >= MIN_GAPS && nowMs - record.measuredMs < PACE_AGE_MS;
    if (!isKnown || this.#usualGapMs === undefined) return 1;
    return record.gapMs / this.#usualGapMs;
  }

  isSlow(worker: string, nowMs: number): boolean {
    return this.factorOf(worker, nowMs) > SLOW_FACTOR;
  }

  /** Forgets workers that are no longer there. */
  retain(isKnown: (worker: string) => boolean): void {
    for (const worker of this.#records.keys()) {
      if (!isKnown(worker)) this.#records.delete(worker);
    }
  }

  #median(nowMs: number): number | undefined {
    const gaps = [...this.#records.values()]
      .filter(
        ({ gaps: count, measuredMs }) => count >= MIN_GAPS && nowMs - measuredMs < PACE_AGE_MS,
      )
      .map(({ gapMs }) => gapMs)
      .sort((left, right) => left - right);
    // The lower of the middle two: with one of two workers slow, the other one is the usual.
    return gaps[Math.floor((gaps.length - 1) / 2)];
  }
}
