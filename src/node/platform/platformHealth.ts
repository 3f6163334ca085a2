import { type Clock, Stopwatch } from '../../shared/clock.ts';

/** Calls in a row without an answer from which the platform may count as lost; one may be lost on a sound path. */
const MIN_FAILURES = 2;

/** Time without any answer after the first failed call from which the platform counts as lost, in ms. */
const LOST_AFTER_MS = 500;

/** Unanswered calls in progress from which a silence counts; a single one may be on a connection that has gone silent. */
const MIN_PENDING = 2;

/**
 * Time without any answer while calls are in progress after which the platform counts as lost, in ms. A platform that is
 * slow answers now and then; waiting for the time limit of single calls would take twice as long.
 */
const SILENT_AFTER_MS = 600;

/** Whether the platform answers this node. */
export class PlatformHealth {
  readonly #clock: Clock;

  #failures = 0;

  #since: Stopwatch | undefined;

  /** Calls in progress that are answered at once, unlike those that wait for changes. */
  #pending = 0;

  /** Since when calls are in progress without any answer. */
  #silent: Stopwatch | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** A call is sent whose answer is due at once. */
  begin(): void {
    this.#pending += 1;
    this.#silent ??= new Stopwatch(this.#clock);
  }

  /** A call that was begun has ended. */
  end(): void {
    this.#pending -= 1;
    if (this.#pending === 0) this.#silent = undefined;
  }

  /** How a call ended. */
  record(answered: boolean): void {
    if (answered) {
      this.#failures = 0;
      this.#since = undefined;
      this.#silent = this.#pending > 0 ? new Stopwatch(this.#clock) : undefined;
      return;
    }
    this.#failures += 1;
    this.#since ??= new Stopwatch(this.#clock);
  }

  get lost(): boolean {
    return this.#isFailing || this.#isSilent;
  }

  get #isFailing(): boolean {
    return this.#failures >= MIN_FAILURES && (this.#since?.elapsedMs() ?? 0) >= LOST_AFTER_MS;
  }

  get #isSilent(): boolean {
    return this.#pending >= MIN_PENDING && (this.#silent?.elapsedMs() ?? 0) >= SILENT_AFTER_MS;
  }
}
