import { type Clock, Stopwatch } from '../../shared/clock.ts';

/**
 * Minimum number of consecutive calls without an answer for the platform to count as lost. A single answer may get lost
 * although the platform is reachable.
 */
const MIN_FAILURES = 2;

/** Minimum time without any answer since the first failed call for the platform to count as lost, in ms. */
const LOST_AFTER_MS = 500;

/**
 * Minimum number of calls in progress for silence to count as a loss. A single call may be on a connection that has
 * gone silent.
 */
const MIN_PENDING = 2;

/**
 * Time without any answer while calls are in progress after which the platform counts as lost, in ms. A slow platform
 * still answers some calls within it; waiting for the timeout of the individual calls would take twice as long.
 */
const SILENT_AFTER_MS = 600;

/** Detects whether the platform answers this node. */
export class PlatformHealth {
  readonly #clock: Clock;

  /** Consecutive calls without an answer. */
  #failures = 0;

  /** Runs since the first of these calls failed. */
  #failedSince: Stopwatch | undefined;

  /** Calls in progress that expect an immediate answer, unlike long polls. */
  #pending = 0;

  /** Runs since calls have been in progress without any answer. */
  #silentSince: Stopwatch | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records the start of a call that expects an immediate answer. */
  begin(): void {
    this.#pending += 1;
    this.#silentSince ??= new Stopwatch(this.#clock);
  }

  /** Records the end of a call that `begin` recorded. */
  end(): void {
    this.#pending -= 1;
    if (this.#pending === 0) this.#silentSince = undefined;
  }

  /** Records whether a call was answered. */
  record(answered: boolean): void {
    if (answered) {
      this.#failures = 0;
      this.#failedSince = undefined;
      this.#silentSince = this.#pending > 0 ? new Stopwatch(this.#clock) : undefined;
      return;
    }
    this.#failures += 1;
    this.#failedSince ??= new Stopwatch(this.#clock);
  }

  get lost(): boolean {
    return this.#isFailing || this.#isSilent;
  }

  get #isFailing(): boolean {
    return this.#failures >= MIN_FAILURES && (this.#failedSince?.elapsedMs() ?? 0) >= LOST_AFTER_MS;
  }

  get #isSilent(): boolean {
    return this.#pending >= MIN_PENDING && (this.#silentSince?.elapsedMs() ?? 0) >= SILENT_AFTER_MS;
  }
}
