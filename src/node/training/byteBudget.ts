/** Bounds the bytes of prompts and samples that a node keeps for all its jobs. */
export class ByteBudget {
  readonly limitBytes: number;

  #usedBytes = 0;

  constructor(limitBytes: number) {
    this.limitBytes = limitBytes;
  }

  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Takes `sizeBytes` when they fit. */
  tryTake(sizeBytes: number): boolean {
    if (this.#usedBytes + sizeBytes > this.limitBytes) return false;
    this.#usedBytes += sizeBytes;
    return true;
  }

  /** Corrects an estimate once the real size is known. May exceed the limit by the error of the estimate. */
  adjust(byBytes: number): void {
    this.#usedBytes += byBytes;
  }

  giveBack(sizeBytes: number): void {
    this.#usedBytes -= sizeBytes;
  }
}
