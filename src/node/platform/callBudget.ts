import type { Clock } from '../../shared/clock.ts';

export interface CallBudgetOptions {
  readonly callsPerSecond: number;
  /** Maximum time that a call waits for a token, in ms. @default 1000 */
  readonly maxWaitMs?: number;
}

/** Token bucket that limits the rate of platform calls. Its capacity is the number of calls of one second. */
export class CallBudget {
  readonly #clock: Clock;

  readonly #callsPerSecond: number;

  readonly #maxWaitMs: number;

  /** Calls that may start now; negative while calls wait for a token. */
  #tokens: number;

  #refilledAtMs: number;

  constructor(clock: Clock, { callsPerSecond, maxWaitMs = 1000 }: CallBudgetOptions) {
    this.#clock = clock;
    this.#callsPerSecond = callsPerSecond;
    this.#maxWaitMs = maxWaitMs;
    this.#tokens = callsPerSecond;
    this.#refilledAtMs = clock.monotonicMs();
  }

  /** Calls that may start now without waiting. */
  get available(): number {
    this.#refill();
    return Math.max(0, Math.floor(this.#tokens));
  }

  /**
   * Takes a token for one call.
   *
   * @returns the time to wait before the call, in ms; undefined when it would exceed `maxWaitMs` and no token was taken
   */
  reserve(): number | undefined {
    this.#refill();
    const waitMs = this.#tokens >= 1 ? 0 : ((1 - this.#tokens) * 1000) / this.#callsPerSecond;
    if (waitMs > this.#maxWaitMs) return undefined;
    this.#tokens -= 1;
    return waitMs;
  }

  #refill(): void {
    const nowMs = this.#clock.monotonicMs();
    const refilledTokens = ((nowMs - this.#refilledAtMs) * this.#callsPerSecond) / 1000;
    this.#tokens = Math.min(this.#callsPerSecond, this.#tokens + refilledTokens);
    this.#refilledAtMs = nowMs;
  }
}
