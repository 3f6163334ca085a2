import type { Clock } from '../../shared/clock.ts';

export interface CallBudgetOptions {
  readonly callsPerSecond: number;
  /** Longest time that a call waits for its turn, in ms. @default 1000 */
  readonly maxWaitMs?: number;
}

/** A token bucket for calls to the platform. It holds the calls of one second. */
export class CallBudget {
  readonly #clock: Clock;

  readonly #callsPerSecond: number;

  readonly #maxWaitMs: number;

  /** Calls that may start now; negative while calls wait for their turn. */
  #tokens: number;

  #filledAtMs: number;

  constructor(clock: Clock, { callsPerSecond, maxWaitMs = 1000 }: CallBudgetOptions) {
    this.#clock = clock;
    this.#callsPerSecond = callsPerSecond;
    this.#maxWaitMs = maxWaitMs;
    this.#tokens = callsPerSecond;
    this.#filledAtMs = clock.monotonicMs();
  }

  /** Calls that may start now without waiting. */
  get available(): number {
    this.#fill();
    return Math.max(0, Math.floor(this.#tokens));
  }

  /**
   * Takes one call from the budget.
   *
   * @returns the time to wait before the call, in ms; undefined when it would be over `maxWaitMs`: nothing was taken
   */
  take(): number | undefined {
    this.#fill();
    const waitMs = this.#tokens >= 1 ? 0 : ((1 - this.#tokens) * 1000) / this.#callsPerSecond;
    if (waitMs > this.#maxWaitMs) return undefined;
    this.#tokens -= 1;
    return waitMs;
  }

  #fill(): void {
    const nowMs = this.#clock.monotonicMs();
    const gained = ((nowMs - this.#filledAtMs) * this.#callsPerSecond) / 1000;
    this.#tokens = Math.min(this.#callsPerSecond, this.#tokens + gained);
    this.#filledAtMs = nowMs;
  }
}
