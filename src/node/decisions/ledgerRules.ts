/** Rules of the ledger that tests replace by weaker ones, to show that each is needed. */
export interface LedgerRules {
  /** Whether a position in this state may be handed over. */
  readonly mayHandOver: (state: 'pending' | 'committed' | 'voiding' | 'voided') => boolean;
  /** Whether a pull with a cursor of this fencing number may be acted on. */
  readonly acceptsFencing: (ofCursor: number, own: number) => boolean;
  /** Whether a pull with this sequence number is newer than the last accepted one. */
  readonly acceptsSequence: (pullSequence: number, last: number) => boolean;
  /** Whether a cursor's position can come from an answer of this job. */
  readonly checkPosition: (
    position: number,
    acknowledged: number,
    handedOverEnd: number,
  ) => 'accepted' | 'behind' | 'ahead';
  /** The published versions against which staleness is measured at hand-over. */
  readonly publishedForStaleness: (
    now: readonly number[],
    atCompletion: readonly number[],
  ) => readonly number[];
}

export const STANDARD_LEDGER_RULES: LedgerRules = {
  mayHandOver: (state) => state === 'committed',
  acceptsFencing: (ofCursor, own) => ofCursor === own,
  acceptsSequence: (pullSequence, last) => pullSequence > last,
  checkPosition(position, acknowledged, handedOverEnd) {
    if (position < acknowledged) return 'behind';
    return position > handedOverEnd ? 'ahead' : 'accepted';
  },
  publishedForStaleness: (now) => now,
};
