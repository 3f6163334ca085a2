/** Length of one counting period, in ms. A second spans the current period, the last one and a part of that before it. */
const PERIOD_MS = 500;

interface PeriodCounts {
  readonly period: number;
  /** Counts of the current period and of the two before it, the newest first. */
  readonly counts: readonly [number, number, number];
}

/** Counts the answers of each worker in the last second. */
export class AnswerCounts {
  readonly #workers = new Map<string, PeriodCounts>();

  add(worker: string, nowMs: number): void {
    const {
      period,
      counts: [current, last, earlier],
    } = this.#at(worker, nowMs);
    this.#workers.set(worker, { period, counts: [current + 1, last, earlier] });
  }

  inLastSecond(worker: string, nowMs: number): number {
    const {
      period,
      counts: [current, last, earlier],
    } = this.#at(worker, nowMs);
    const elapsedShare = nowMs / PERIOD_MS - period;
    return current + last + earlier * (1 - elapsedShare);
  }

  /** Removes workers that `isKnown` rejects. */
  retain(isKnown: (worker: string) => boolean): void {
    for (const worker of this.#workers.keys()) if (!isKnown(worker)) this.#workers.delete(worker);
  }

  #at(worker: string, nowMs: number): PeriodCounts {
    const period = Math.floor(nowMs / PERIOD_MS);
    const known = this.#workers.get(worker);
    if (known === undefined) return { period, counts: [0, 0, 0] };
    const [current, last] = known.counts;
    if (known.period === period) return known;
    if (known.period === period - 1) return { period, counts: [0, current, last] };
    if (known.period === period - 2) return { period, counts: [0, 0, current] };
    return { period, counts: [0, 0, 0] };
  }
}
