import { type Clock, Stopwatch } from '../../shared/clock.ts';

/**
 * A node's permission to accept new work. It is valid while, by both the monotonic and the wall clock, less than the
 * isolation time has passed since the last call that the platform or a peer answered. The time counts from the sending
 * of that call, because the other side may have handled it at any moment after the send.
 */
export class ServingLease {
  readonly #isolationMs: number;

  #lastAnswered: Stopwatch | undefined;

  /** @param isolationMs - time for which the lease is valid after the last answered call was sent, in ms */
  constructor(isolationMs: number) {
    this.#isolationMs = isolationMs;
  }

  /**
   * Renews the lease after an answered read of the configuration head.
   *
   * @param sentAt - stopwatch started directly before the read was sent
   */
  renewByPlatform(sentAt: Stopwatch): void {
    this.#renew(sentAt);
  }

  /**
   * Renews the lease after an answered heartbeat. Must not be called for the response of a peer that knows a higher
   * configuration revision, see `ConfigurationReplica.peerRenewsLease`.
   *
   * @param sentAt - stopwatch started directly before the heartbeat was sent
   */
  renewByPeer(sentAt: Stopwatch): void {
    this.#renew(sentAt);
  }

  /** Whether the latest answered call was sent less than `isolationMs` ago; false before the first one. */
  mayServe(): boolean {
    return this.#lastAnswered !== undefined && this.#lastAnswered.elapsedMs() < this.#isolationMs;
  }

  #renew(sentAt: Stopwatch): void {
    // Responses can arrive out of order; a late response to an earlier call must not shorten the lease.
    if (this.#lastAnswered === undefined || sentAt.elapsedMs() < this.#lastAnswered.elapsedMs()) {
      this.#lastAnswered = sentAt;
    }
  }
}

/** Starts the stopwatch that `ServingLease` expects. Must be called directly before a call is sent. */
export const startCallStopwatch = (clock: Clock): Stopwatch => new Stopwatch(clock);
