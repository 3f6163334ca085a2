/* eslint-disable no-bitwise */

/** Bitmap with one bit for each sample of a step, indexed by ordinal. */
export class StepBitmap {
  readonly #bytes: Buffer;

  #count = 0;

  /** @param encoded - base64 text returned by `encode` */
  constructor(total: number, encoded = '') {
    this.#bytes = Buffer.alloc(Math.ceil(total / 8));
    Buffer.from(encoded, 'base64').copy(this.#bytes);
    for (let ordinal = 0; ordinal < total; ordinal += 1) if (this.has(ordinal)) this.#count += 1;
  }

  /** Number of bits that are set. */
  get count(): number {
    return this.#count;
  }

  has(ordinal: number): boolean {
    return ((this.#bytes[ordinal >> 3] ?? 0) & (1 << (ordinal & 7))) !== 0;
  }

  set(ordinal: number, value: boolean): void {
    if (this.has(ordinal) === value) return;
    this.#bytes[ordinal >> 3] = (this.#bytes[ordinal >> 3] ?? 0) ^ (1 << (ordinal & 7));
    this.#count += value ? 1 : -1;
  }

  encode(): string {
    return this.#bytes.toString('base64');
  }
}
