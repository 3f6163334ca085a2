import { type Clock, Stopwatch } from '../../shared/clock.ts';

/**
 * Minimum number of consecutive calls without a response for the platform to count as lost. A single response may get
 * lost although the platform is reachable.
 */
const MIN_FAILURES = 2;

/** Minimum time without any response since the first failed call for the platform to count as lost, in ms. */
const LOST_AFTER_MS = 500;

/**
 * Minimum number of calls in progress for the lack of responses to count as a loss. A single call may be on a dead
 * connection.
 */
const MIN_PENDING = 2;

/**
 * Time without any response while calls are in progress after which the platform counts as lost, in ms. A slow platform
 * still responds to some calls within it; waiting for the timeout of the individual calls would take twice as long.
 */
const STALL_AFTER_MS = 600;

/** Detects whether the platform responds to this node. */
export class PlatformHealth {
  readonly #clock: Clock;

  /** Consecutive calls without a response. */
  #failures = 0;

  /** Measures the time since the first of these calls failed. */
  #failedSince: Stopwatch | undefined;

  /** Calls in progress that expect an immediate response, unlike long polls. */
  #pending = 0;

  /** Measures the time for which calls have been in progress without any response. */
  #stalledSince: Stopwatch | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records the start of a call that expects an immediate response. */
  begin(): void {
    this.#pending += 1;
    this.#stalledSince ??= new Stopwatch(this.#clock);
  }

  /** Records the end of a call that `begin` recorded. */
  end(): void {
    this.#pending -= 1;
    if (this.#pending === 0) this.#stalledSince = undefined;
  }

  /** Records whether a call got a response. */
  record(responded: boolean): void {
    if (responded) {
      this.#failures = 0;
      this.#failedSince = undefined;
      this.#stalledSince = this.#pending > 0 ? new Stopwatch(this.#clock) : undefined;
      return;
    }
    this.#failures += 1;
    this.#failedSince ??= new Stopwatch(this.#clock);
  }

  get lost(): boolean {
    return this.#isFailing || this.#isStalled;
  }

  get #isFailing(): boolean {
    return this.#failures >= MIN_FAILURES && (this.#failedSince?.elapsedMs() ?? 0) >= LOST_AFTER_MS;
  }

  get #isStalled(): boolean {
    return this.#pending >= MIN_PENDING && (this.#stalledSince?.elapsedMs() ?? 0) >= STALL_AFTER_MS;
  }
}
