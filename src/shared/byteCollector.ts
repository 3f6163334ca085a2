/** Size up to which bytes are kept in an ordinary buffer, in bytes. */
const SMALL_BYTES = 64 * 1024;

/** First size of a buffer for bytes of unknown number, in bytes. */
const FIRST_BYTES = 4 * 1024;

/** Step in which the memory for many bytes grows, in bytes. */
const STEP_BYTES = 256 * 1024;

/**
 * Joins chunks as they arrive, so that tiny ones cost only their bytes. Many bytes are kept in one resizable buffer,
 * which grows without copies and whose memory can be returned at once.
 */
export class ByteCollector {
  readonly #maxBytes: number;

  #buffer = Buffer.alloc(0);

  #large: ArrayBuffer | undefined;

  #sizeBytes = 0;

  /** @param maxBytes - number of bytes that will be appended at most */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  /** Memory that is occupied once so many bytes have been appended. */
  capacityFor(sizeBytes: number): number {
    if (sizeBytes <= this.#buffer.length) return this.#buffer.length;
    let capacity = FIRST_BYTES;
    if (sizeBytes > SMALL_BYTES) capacity = Math.ceil(sizeBytes / STEP_BYTES) * STEP_BYTES;
    else while (capacity < sizeBytes) capacity *= 2;
    return Math.max(sizeBytes, Math.min(capacity, this.#maxBytes));
  }

  append(chunk: Uint8Array): void {
    const sizeBytes = this.#sizeBytes + chunk.length;
    if (sizeBytes > this.#maxBytes) throw new RangeError(`more than ${this.#maxBytes} bytes`);
    if (sizeBytes > this.#buffer.length) this.#resize(this.capacityFor(sizeBytes));
    this.#buffer.set(chunk, this.#sizeBytes);
    this.#sizeBytes = sizeBytes;
  }

  /** The bytes so far, without a copy. */
  bytes(): Buffer {
    return this.#buffer.subarray(0, this.#sizeBytes);
  }

  /** Returns the memory. Only for bytes that nothing else uses. */
  discard(): void {
    this.#large?.resize(0);
    this.#large = undefined;
    this.#buffer = Buffer.alloc(0);
    this.#sizeBytes = 0;
  }

  #resize(capacity: number): void {
    const before = this.bytes();
    if (capacity <= SMALL_BYTES) {
      this.#buffer = Buffer.allocUnsafeSlow(capacity);
      this.#buffer.set(before);
      return;
    }
    if (this.#large === undefined) {
      this.#large = new ArrayBuffer(capacity, { maxByteLength: this.#maxBytes });
      this.#buffer = Buffer.from(this.#large, 0, capacity);
      this.#buffer.set(before);
      return;
    }
    this.#large.resize(capacity);
    this.#buffer = Buffer.from(this.#large, 0, capacity);
  }
}

/** Returns the memory of bytes that a `ByteCollector` joined and that nothing uses any more. */
export const releaseBytes = ({ buffer }: Buffer): void => {
  if (buffer instanceof ArrayBuffer && buffer.resizable) buffer.resize(0);
};

/** Chunks of fewer bytes are left to the garbage collector; many of them take little memory. */
const MIN_FREED_BYTES = 4 * 1024;

/**
 * Returns the memory of a chunk whose bytes were copied and that nothing else uses. Otherwise chunks stay in memory until the
 * garbage collector runs, which takes long on a busy machine. A chunk that shares its memory with others is left as it is.
 */
export const freeChunk = ({ buffer, length }: Uint8Array): void => {
  if (length < MIN_FREED_BYTES || length !== buffer.byteLength) return;
  if (buffer instanceof ArrayBuffer && !buffer.resizable) buffer.transfer(0);
};
