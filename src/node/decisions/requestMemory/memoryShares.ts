/** What a node's memory is used for beside the program itself. */
export type MemoryUse = 'uploads' | 'decoding' | 'responses' | 'batches';

/** Bytes that a use occupies, and the bytes that are kept for it although it may not need them now. */
export interface MemoryShare {
  readonly usedBytes: () => number;
  readonly reservedBytes: () => number;
}

/**
 * Shares one bound on the memory of a node among its uses. Each may grow into what the others neither use nor have reserved.
 * Addresses a load of large submissions, whose bytes are in one use after the other: in arrival, decoded, held until they ran.
 */
export class MemoryShares {
  readonly #limitBytes: () => number;

  readonly #shares: Readonly<Record<MemoryUse, MemoryShare>>;

  constructor(limitBytes: () => number, shares: Readonly<Record<MemoryUse, MemoryShare>>) {
    this.#limitBytes = limitBytes;
    this.#shares = shares;
  }

  /** Bytes that a use may occupy in total now, at least those that are reserved for it. */
  roomFor(use: MemoryUse): number {
    const others = Object.entries(this.#shares)
      .filter(([name]) => name !== use)
      .reduce((sum, [, share]) => sum + Math.max(share.usedBytes(), share.reservedBytes()), 0);
    return Math.max(this.#shares[use].reservedBytes(), this.#limitBytes() - others);
  }
}
