import { freeChunk } from '../../../shared/byteCollector.ts';

/** Bytes that are valid until they are disposed of. */
export interface HeldBytes extends Disposable {
  readonly bytes: Buffer;
}

/** Holds bytes that are left to the garbage collector. */
export const holdInline = ({ buffer, byteOffset, length }: Uint8Array): HeldBytes => ({
  bytes: Buffer.from(buffer, byteOffset, length),
  [Symbol.dispose]() {},
});

const ownMemory = (bytes: Uint8Array): Uint8Array =>
  bytes.length === bytes.buffer.byteLength ? bytes : new Uint8Array(bytes);

/** Bytes of an owner that others may be sending. Their memory is returned once the owner has dropped them and nobody holds them. */
export class SharedBytes {
  readonly sizeBytes: number;

  readonly #bytes: Uint8Array;

  #holders = 0;

  #isDropped = false;

  /** @param bytes - not used by anything else; copied if they are part of a larger buffer */
  constructor(bytes: Uint8Array) {
    this.#bytes = ownMemory(bytes);
    this.sizeBytes = bytes.length;
  }

  hold(): HeldBytes {
    this.#holders += 1;
    let isHeld = true;
    const { buffer, byteOffset, length } = this.#bytes;
    return {
      bytes: Buffer.from(buffer, byteOffset, length),
      [Symbol.dispose]: () => {
        if (isHeld) this.#holders -= 1;
        isHeld = false;
        this.#freeUnused();
      },
    };
  }

  /** Gives up the bytes. */
  drop(): void {
    this.#isDropped = true;
    this.#freeUnused();
  }

  #freeUnused(): void {
    if (this.#isDropped && this.#holders === 0) freeChunk(this.#bytes);
  }
}
