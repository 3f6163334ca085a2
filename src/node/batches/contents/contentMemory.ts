/** Something that keeps contents of batches in memory. */
export interface ContentHolder {
  /** Bytes that it needs for work in progress. */
  readonly neededBytes: number;
  /** Further bytes, which can be read or made again. */
  readonly cachedBytes: number;
  /** Gives up cached bytes, at least `bytes` if it has as many. Absent where nothing is cached. */
  evict?(bytes: number): void;
}

/**
 * Bounds the memory of the contents of batches on a node. Addresses a load of many large batches: what is needed for work in progress
 * comes first, and what can be read again gives way to it.
 */
export class ContentMemory {
  readonly #roomBytes: () => number;

  /** In the order in which they give up what they keep. */
  readonly #holders = new Set<ContentHolder>();

  /** @param roomBytes - bytes that contents of batches may occupy now */
  constructor(roomBytes: () => number) {
    this.#roomBytes = roomBytes;
  }

  get roomBytes(): number {
    return this.#roomBytes();
  }

  get neededBytes(): number {
    return [...this.#holders].reduce((sum, { neededBytes }) => sum + neededBytes, 0);
  }

  get cachedBytes(): number {
    return [...this.#holders].reduce((sum, { cachedBytes }) => sum + cachedBytes, 0);
  }

  /** Counts a holder until the result is disposed of. */
  add(holder: ContentHolder): Disposable {
    this.#holders.add(holder);
    return { [Symbol.dispose]: () => this.#holders.delete(holder) };
  }

  /** Whether so many bytes fit without giving up others. */
  canCache(bytes: number): boolean {
    return this.#missingBytes(bytes) <= 0;
  }

  /** Makes room for bytes that are needed. Returns whether they fit now. */
  makeRoom(bytes: number): boolean {
    for (const holder of this.#holders) {
      const missingBytes = this.#missingBytes(bytes);
      if (missingBytes <= 0) return true;
      holder.evict?.(missingBytes);
    }
    return this.#missingBytes(bytes) <= 0;
  }

  /** Gives up what no longer fits, because other uses of memory have grown. */
  trim(): void {
    this.makeRoom(0);
  }

  #missingBytes(bytes: number): number {
    return this.neededBytes + this.cachedBytes + bytes - this.#roomBytes();
  }
}
