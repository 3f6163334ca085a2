import { type Clock, Stopwatch } from '../../shared/clock.ts';

/** Calls in a row without an answer from which the platform may count as lost; one may be lost on a sound path. */
const MIN_FAILURES = 2;

/** Time without any answer after the first failed call from which the platform counts as lost, in ms. */
const LOST_AFTER_MS = 500;

/** Whether the platform answers this node. */
export class PlatformHealth {
  readonly #clock: Clock;

  #failures = 0;

  #since: Stopwatch | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  record(answered: boolean): void {
    if (answered) {
      this.#failures = 0;
      this.#since = undefined;
      return;
    }
    this.#failures += 1;
    this.#since ??= new Stopwatch(this.#clock);
  }

  get lost(): boolean {
    return this.#failures >= MIN_FAILURES && (this.#since?.elapsedMs() ?? 0) >= LOST_AFTER_MS;
  }
}
