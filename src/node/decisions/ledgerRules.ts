/** Rules of the ledger. Tests replace single rules by weaker ones to show that each is necessary. */
export interface LedgerRules {
  /** Whether a position in this state may be handed over. */
  readonly mayHandOver: (state: 'pending' | 'committed' | 'voiding' | 'voided') => boolean;
  /** Whether to accept a pull whose cursor carries this fencing token. */
  readonly acceptsFencing: (cursorFencing: number, ownerFencing: number) => boolean;
  /** Whether a pull with this sequence number is newer than the last accepted one. */
  readonly acceptsSequence: (pullSequence: number, last: number) => boolean;
  /** Checks that a cursor lies between the acknowledged position and the end of what was handed over. */
  readonly checkPosition: (
    position: number,
    acknowledged: number,
    handedOverEnd: number,
  ) => 'accepted' | 'behind' | 'ahead';
  /** Selects the published versions against which staleness is measured at hand-over. */
  readonly publishedForStaleness: (
    now: readonly number[],
    atCompletion: readonly number[],
  ) => readonly number[];
}

export const STANDARD_LEDGER_RULES: LedgerRules = {
  mayHandOver: (state) => state === 'committed',
  acceptsFencing: (cursorFencing, ownerFencing) => cursorFencing === ownerFencing,
  acceptsSequence: (pullSequence, last) => pullSequence > last,
  checkPosition(position, acknowledged, handedOverEnd) {
    if (position < acknowledged) return 'behind';
    return position > handedOverEnd ? 'ahead' : 'accepted';
  },
  publishedForStaleness: (now) => now,
};
