import { type Clock, Stopwatch } from '../../shared/clock.ts';

/** Time without an answer of a relay after which the platform is asked, in ms: another relay is chosen meanwhile. */
const PATIENCE_MS = 400;

/** Between two attempts at the platform, in ms, so that an outage does not make every node call all the time. */
const RETRY_MS = 2000;

/** Decides when a node whose relays do not answer asks the platform itself. */
export class RelayFallback {
  readonly #clock: Clock;

  /** Since the first attempt after the last answer. */
  #unanswered: Stopwatch | undefined;

  #asked: Stopwatch | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** A relay or the platform has answered. */
  answered(): void {
    this.#unanswered = undefined;
    this.#asked = undefined;
  }

  /** Whether the platform may be asked now; then counts as an attempt. */
  tryAsk(): boolean {
    this.#unanswered ??= new Stopwatch(this.#clock);
    if (this.#unanswered.elapsedMs() < PATIENCE_MS) return false;
    if (this.#asked !== undefined && this.#asked.elapsedMs() < RETRY_MS) return false;
    this.#asked = new Stopwatch(this.#clock);
    return true;
  }
}
