import { type Clock, Stopwatch } from '../../shared/clock.ts';

/**
 * Whether a node may take new work: only while it has heard from the platform or from a peer within the isolation
 * time by both clocks. The time counts from the sending of the call that was answered, because the other side may have
 * handled the call at any moment after that.
 */
export class RightToServe {
  readonly #isolationMs: number;

  #latest: Stopwatch | undefined;

  /** @param isolationMs - time after the last word during which the node may serve, in ms */
  constructor(isolationMs: number) {
    this.#isolationMs = isolationMs;
  }

  /**
   * Counts an answered read of the configuration head.
   *
   * @param sentAt - started directly before the read was sent
   */
  heardFromPlatform(sentAt: Stopwatch): void {
    this.#heard(sentAt);
  }

  /**
   * Counts an answered heartbeat. The caller must not count the answer of a peer that knows a higher revision, see
   * `ConfigurationReplica.countsAsHeard`.
   *
   * @param sentAt - started directly before the heartbeat was sent
   */
  heardFromPeer(sentAt: Stopwatch): void {
    this.#heard(sentAt);
  }

  /** False until the first word and from `isolationMs` after the latest one. */
  mayServe(): boolean {
    return this.#latest !== undefined && this.#latest.elapsedMs() < this.#isolationMs;
  }

  #heard(sentAt: Stopwatch): void {
    // Answers can arrive out of order; a late answer to an earlier call must not shorten the right.
    if (this.#latest === undefined || sentAt.elapsedMs() < this.#latest.elapsedMs()) {
      this.#latest = sentAt;
    }
  }
}

/** Starts the stopwatch that `RightToServe` expects; called directly before a call is sent. */
export const startOfCall = (clock: Clock): Stopwatch => new Stopwatch(clock);
