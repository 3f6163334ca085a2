/** Bounds the total size of what its users keep in memory at the same time. */
export class ByteBudget {
  readonly limitBytes: number;

  #usedBytes = 0;

  constructor(limitBytes: number) {
    this.limitBytes = limitBytes;
  }

  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Reserves `sizeBytes` if they fit within the limit. */
  tryReserve(sizeBytes: number): boolean {
    if (this.#usedBytes + sizeBytes > this.limitBytes) return false;
    this.#usedBytes += sizeBytes;
    return true;
  }

  /**
   * Corrects an estimate once the actual size is known. The limit is not checked and may be exceeded by the error of
   * the estimate.
   */
  adjust(deltaBytes: number): void {
    this.#usedBytes += deltaBytes;
  }

  release(sizeBytes: number): void {
    this.#usedBytes -= sizeBytes;
  }
}
