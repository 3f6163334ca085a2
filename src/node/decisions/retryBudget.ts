import { invariant } from '../../shared/invariants.ts';

/** Retries granted before the first requests have earned any. Enough for a single lost worker on a quiet route. */
export const DEFAULT_BURST = 10;

/** Largest number of retries that can be saved up. Covers the loss of one worker with 64 streams. */
export const DEFAULT_MAX_SAVED = 100;

export interface RetryBudgetOptions {
  /** Retries earned by each first attempt, 0 to 1. 0 allows no retry at all. */
  readonly fraction: number;
  /** @default DEFAULT_BURST */
  readonly burst?: number;
  /** @default DEFAULT_MAX_SAVED */
  readonly maxSaved?: number;
}

/**
 * Bounds retries, resumes and hedges of one route together: at any time at most `burst + fraction * first attempts`
 * have been granted, so that retries cannot multiply the load on failing workers.
 */
export class RetryBudget {
  readonly fraction: number;

  readonly #burst: number;

  readonly #maxSaved: number;

  #saved: number;

  #firstAttempts = 0;

  #granted = 0;

  constructor({
    fraction,
    burst = DEFAULT_BURST,
    maxSaved = DEFAULT_MAX_SAVED,
  }: RetryBudgetOptions) {
    this.fraction = fraction;
    this.#burst = fraction > 0 ? burst : 0;
    this.#maxSaved = Math.max(maxSaved, this.#burst);
    this.#saved = this.#burst;
  }

  /** Records a first attempt, which earns a part of a retry. */
  recordFirstAttempt(): void {
    this.#firstAttempts += 1;
    this.#saved = Math.min(this.#maxSaved, this.#saved + this.fraction);
  }

  /** Takes one retry out of the budget. Returns false when there is none left. */
  tryTake(): boolean {
    if (this.#saved < 1) return false;
    this.#saved -= 1;
    this.#granted += 1;
    invariant(
      // The sum of many fractions is not exact.
      this.#granted <= this.#burst + this.fraction * this.#firstAttempts + 1e-6,
      'retry-budget-bound',
      { granted: this.#granted, firstAttempts: this.#firstAttempts },
    );
    return true;
  }
}
