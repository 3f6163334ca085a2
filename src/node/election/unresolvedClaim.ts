import { type Clock, Stopwatch } from '../../shared/clock.ts';
import type { HolderRecord } from './electionSubject.ts';

/** Time for which the platform may still carry out a claim that got no response, in ms; it does so within seconds. */
const MAX_LATE_MS = 30_000;

interface Claim<R> {
  readonly term: number;
  /** Version that the record must have for the claim to take effect. */
  readonly version: number;
  /** The holder that the claim replaces. */
  readonly former: R | undefined;
  readonly since: Stopwatch;
}

/**
 * The latest claim of this node whose outcome was unknown. Until the record has changed, the platform may still carry the
 * claim out, and the record then names this node.
 */
export class UnresolvedClaim<R extends HolderRecord> {
  readonly #clock: Clock;

  #claim: Claim<R> | undefined;

  #isOpen = false;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether the claim may still take effect. */
  get isOpen(): boolean {
    return this.#isOpen && (this.#claim?.since.elapsedMs() ?? Infinity) < MAX_LATE_MS;
  }

  open(claim: Omit<Claim<R>, 'since'>): void {
    this.#claim = { ...claim, since: new Stopwatch(this.#clock) };
    this.#isOpen = true;
  }

  /** Forgets the claim because a later one of this node took effect. */
  clear(): void {
    this.#claim = undefined;
    this.#isOpen = false;
  }

  /** Records the version that the record was found with; a claim that requires an earlier one cannot take effect any more. */
  recordVersion(version: number): void {
    if (version > (this.#claim?.version ?? Infinity)) this.#isOpen = false;
  }

  /**
   * The last node that acted as the holder: the holder of the record, or the one before it if the record is this node's
   * own claim, of which it did not know.
   */
  lastActing(record: R | undefined, ownIncarnation: string): R | undefined {
    const isOwnClaim = record?.incarnation === ownIncarnation && record.term === this.#claim?.term;
    return isOwnClaim ? this.#claim?.former : record;
  }
}
