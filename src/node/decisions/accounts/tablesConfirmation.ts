import type { Stopwatch } from '../../../shared/clock.ts';

/**
 * The latest time at which a peer knew that the tables which this node holds are current. Times are measured from the
 * sending of the heartbeat that the peer answered, so that a frozen node does not take an old answer for a new one.
 */
export class TablesConfirmation {
  #version = 0;

  #sinceSent: Stopwatch | undefined;

  #beforeSentMs = 0;

  /**
   * Records the answer of a peer. One about another version confirms nothing: an earlier one is outdated, and of a later
   * one this node has no tables.
   *
   * @param peer - version of the peer's tables and the time since it knew them to be current, in ms; undefined: unknown
   * @param heldVersion - version of this node's tables
   */
  recordPeer(
    peer: { readonly version: number; readonly ageMs: number | undefined },
    heldVersion: number,
    sinceSent: Stopwatch,
  ): void {
    if (peer.ageMs === undefined || peer.version === 0 || peer.version !== heldVersion) return;
    if (sinceSent.elapsedMs() + peer.ageMs >= this.ageMs(heldVersion)) return;
    this.#version = heldVersion;
    this.#sinceSent = sinceSent;
    this.#beforeSentMs = peer.ageMs;
  }

  /** Time since peers knew a version to be current, in ms; Infinity if none did. */
  ageMs(heldVersion: number): number {
    if (this.#sinceSent === undefined || heldVersion !== this.#version) return Infinity;
    return this.#sinceSent.elapsedMs() + this.#beforeSentMs;
  }
}
