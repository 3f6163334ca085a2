import type { Clock } from '../../shared/clock.ts';

export interface CallBudgetOptions {
  readonly callsPerSecond: number;
  /** Maximum time that a call waits for a token, in ms. @default 1000 */
  readonly maxWaitMs?: number;
  /** Calls that only those for leases may use. @default 0 */
  readonly leaseReserve?: number;
  /** Calls that bulk calls leave to all others. @default 0 */
  readonly bulkReserve?: number;
}

/**
 * Token bucket that limits the rate of platform calls. Its capacity is the number of calls of one second. Calls for leases have a
 * part of it to themselves, so that they never wait behind others; bulk calls start only while enough is left for the rest.
 */
export class CallBudget {
  readonly #clock: Clock;

  readonly #callsPerSecond: number;

  readonly #maxWaitMs: number;

  readonly #leaseReserve: number;

  readonly #bulkReserve: number;

  /** Calls that may start now; negative while calls wait for a token. */
  #tokens: number;

  /** Further calls that may start now if they are for leases. */
  #leaseTokens: number;

  #refilledAtMs: number;

  constructor(clock: Clock, options: CallBudgetOptions) {
    const { callsPerSecond, maxWaitMs = 1000, leaseReserve = 0, bulkReserve = 0 } = options;
    this.#clock = clock;
    this.#callsPerSecond = callsPerSecond;
    this.#maxWaitMs = maxWaitMs;
    this.#leaseReserve = leaseReserve;
    this.#bulkReserve = bulkReserve;
    this.#tokens = callsPerSecond - leaseReserve;
    this.#leaseTokens = leaseReserve;
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
    const waitMs = this.#tokens >= 1 ? 0 : this.#refillMs(1 - this.#tokens);
    if (waitMs > this.#maxWaitMs) return undefined;
    this.#tokens -= 1;
    return waitMs;
  }

  /** Takes a token for one call for a lease, as `reserve` does. */
  reserveForLease(): number | undefined {
    this.#refill();
    if (this.#leaseTokens < 1) return this.reserve();
    this.#leaseTokens -= 1;
    return 0;
  }

  /**
   * Takes a token for one bulk call if enough are left for other calls.
   *
   * @returns 0 if a token was taken; otherwise the time after which to try again, in whole ms
   */
  tryReserveBulk(): number {
    this.#refill();
    const missing = 1 + this.#bulkReserve - this.#tokens;
    if (missing > 0) return Math.ceil(this.#refillMs(missing));
    this.#tokens -= 1;
    return 0;
  }

  #refillMs(tokens: number): number {
    return (tokens * 1000) / this.#callsPerSecond;
  }

  #refill(): void {
    const nowMs = this.#clock.monotonicMs();
    const refilled = ((nowMs - this.#refilledAtMs) * this.#callsPerSecond) / 1000;
    const forLeases = Math.min(refilled, this.#leaseReserve - this.#leaseTokens);
    this.#leaseTokens += forLeases;
    const capacity = this.#callsPerSecond - this.#leaseReserve;
    this.#tokens = Math.min(capacity, this.#tokens + refilled - forLeases);
    this.#refilledAtMs = nowMs;
  }
}
