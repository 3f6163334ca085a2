import { type Clock, Stopwatch } from '../../shared/clock.ts';

/**
 * Decides whether a node may accept new work: only if, by both the monotonic and the wall clock, less than the
 * isolation time has passed since a call that the platform or a peer answered. The time counts from the sending of that
 * call, because the other side may have handled it at any moment after the send.
 */
export class ServingLease {
  readonly #isolationMs: number;

  #lastAnswered: Stopwatch | undefined;

  /** @param isolationMs - time for which the node may serve after the last answered call was sent, in ms */
  constructor(isolationMs: number) {
    this.#isolationMs = isolationMs;
  }

  /**
   * Records an answered read of the configuration head.
   *
   * @param sentAt - stopwatch started directly before the read was sent
   */
  renewByPlatform(sentAt: Stopwatch): void {
    this.#recordAnswer(sentAt);
  }

  /**
   * Records an answered heartbeat. Must not be called for the response of a peer that knows a higher configuration
   * revision, see `ConfigurationReplica.countsAsHeard`.
   *
   * @param sentAt - stopwatch started directly before the heartbeat was sent
   */
  renewByPeer(sentAt: Stopwatch): void {
    this.#recordAnswer(sentAt);
  }

  /** Whether the latest answered call was sent less than `isolationMs` ago; false before the first one. */
  mayServe(): boolean {
    return this.#lastAnswered !== undefined && this.#lastAnswered.elapsedMs() < this.#isolationMs;
  }

  #recordAnswer(sentAt: Stopwatch): void {
    // Responses can arrive out of order; a late response to an earlier call must not shorten the permitted time.
    if (this.#lastAnswered === undefined || sentAt.elapsedMs() < this.#lastAnswered.elapsedMs()) {
      this.#lastAnswered = sentAt;
    }
  }
}

/** Starts the stopwatch that `RightToServe` expects. Must be called directly before a call is sent. */
export const startCallStopwatch = (clock: Clock): Stopwatch => new Stopwatch(clock);
