import { invariant } from '../../shared/invariants.ts';

/** Retries available before any first attempt. Enough for the loss of one worker on a route with few requests. */
export const DEFAULT_BURST = 10;

/** Maximum number of retries that can accumulate. Covers the loss of one worker with 64 streams. */
export const DEFAULT_CAPACITY = 100;

export interface RetryBudgetOptions {
  /** Retries added by each first attempt, 0 to 1. 0 disables retries. */
  readonly fraction: number;
  /** @default DEFAULT_BURST */
  readonly burst?: number;
  /** @default DEFAULT_CAPACITY */
  readonly capacity?: number;
}

/**
 * Token bucket that limits the retries, resumes and hedged requests of one route together. At any time at most
 * `burst + fraction * first attempts` have been granted, so that retries cannot multiply the load on failing workers.
 */
export class RetryBudget {
  readonly fraction: number;

  readonly #burst: number;

  readonly #capacity: number;

  #available: number;

  #firstAttempts = 0;

  #granted = 0;

  constructor({
    fraction,
    burst = DEFAULT_BURST,
    capacity = DEFAULT_CAPACITY,
  }: RetryBudgetOptions) {
    this.fraction = fraction;
    this.#burst = fraction > 0 ? burst : 0;
    this.#capacity = Math.max(capacity, this.#burst);
    this.#available = this.#burst;
  }

  /** Records a first attempt, which adds `fraction` to the available retries. */
  recordFirstAttempt(): void {
    this.#firstAttempts += 1;
    this.#available = Math.min(this.#capacity, this.#available + this.fraction);
  }

  /** Consumes one retry. Returns false if none is available. */
  tryTake(): boolean {
    if (this.#available < 1) return false;
    this.#available -= 1;
    this.#granted += 1;
    invariant(
      // Tolerance for the rounding error of many added fractions.
      this.#granted <= this.#burst + this.fraction * this.#firstAttempts + 1e-6,
      'retry-budget-bound',
      { granted: this.#granted, firstAttempts: this.#firstAttempts },
    );
    return true;
  }
}
