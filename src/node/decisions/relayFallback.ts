import { type Clock, Stopwatch } from '../../shared/clock.ts';

/**
 * Time without a response from any relay after which the platform is called, in ms. Leaves time to try another relay.
 */
const RELAY_TIMEOUT_MS = 400;

/** Minimum interval between calls to the platform, in ms, so that not every node calls constantly during an outage. */
const RETRY_DELAY_MS = 2000;

/** Decides when a node whose relays do not respond calls the platform directly. */
export class RelayFallback {
  readonly #clock: Clock;

  /** Started at the first attempt after the last response. */
  #sinceFirstUnanswered: Stopwatch | undefined;

  #lastCall: Stopwatch | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records that a relay or the platform has responded. */
  recordResponse(): void {
    this.#sinceFirstUnanswered = undefined;
    this.#lastCall = undefined;
  }

  /** Whether the platform may be called now. If so, the call is counted as made. */
  tryStartPlatformCall(): boolean {
    this.#sinceFirstUnanswered ??= new Stopwatch(this.#clock);
    if (this.#sinceFirstUnanswered.elapsedMs() < RELAY_TIMEOUT_MS) return false;
    if (this.#lastCall !== undefined && this.#lastCall.elapsedMs() < RETRY_DELAY_MS) return false;
    this.#lastCall = new Stopwatch(this.#clock);
    return true;
  }
}
