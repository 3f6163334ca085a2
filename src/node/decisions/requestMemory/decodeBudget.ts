/** Memory for a value of JSON beyond its text, in bytes: an empty object takes 56, a member of a message more. */
const VALUE_BYTES = 100;

/** The text of a submission exists three times for a while: as text, as parsed strings and as decoded bytes. */
const TEXT_COPIES = 3;

/** Bytes that a character of a long string, which is base64, becomes when it is decoded. */
const DECODED_SHARE = 3 / 4;

/** Most memory of the parts of a submission that are encoded and written at the same time, in bytes. */
export const MAX_WRITING_BYTES = 16 * 1024 * 1024;

/** Memory of a part that is being written, for each of its bytes: encoded, and with the connection. */
const WRITING_COPIES = 2;

const COMMA = 0x2c;
const OPEN_BRACKET = 0x5b;
const OPEN_BRACE = 0x7b;

/**
 * Most memory that a submission occupies while it is decoded and stored, in bytes. A text of many empty values costs many times its
 * bytes.
 *
 * @param text - the JSON text without its long strings
 * @param longBytes - bytes of the long strings
 */
export const decodeCost = (text: string, longBytes: number): number => {
  let values = 1;
  for (let index = 0; index < text.length; index += 1) {
    const code = text.charCodeAt(index);
    if (code === COMMA || code === OPEN_BRACKET || code === OPEN_BRACE) values += 1;
  }
  const textBytes = Buffer.byteLength(text);
  const writingBytes = Math.min(MAX_WRITING_BYTES, WRITING_COPIES * (textBytes + longBytes));
  const decodedBytes = Math.ceil(DECODED_SHARE * longBytes) + VALUE_BYTES * values;
  return decodedBytes + Math.max(TEXT_COPIES * textBytes, textBytes + writingBytes);
};

/**
 * Bounds the memory of texts that are decoded and stored at the same time. Addresses a load of many large batch
 * submissions, whose decoding multiplies their bytes.
 */
export class DecodeBudget {
  readonly #limitBytes: () => number;

  readonly #roomBytes: () => number;

  #usedBytes = 0;

  /**
   * @param limitBytes - most memory of all texts
   * @param roomBytes - what other uses of memory leave of it now @default all
   */
  constructor(limitBytes: () => number, roomBytes: () => number = limitBytes) {
    this.#limitBytes = limitBytes;
    this.#roomBytes = roomBytes;
  }

  get usedBytes(): number {
    return this.#usedBytes;
  }

  /**
   * Takes memory until the result is disposed of. `full`: there is none now; `never`: the text does not fit even alone. One that fits
   * alone gets its memory when no other text is decoded, so that it is not refused for good.
   */
  take(costBytes: number): Disposable | 'full' | 'never' {
    const limitBytes = this.#limitBytes();
    if (costBytes > limitBytes) return 'never';
    const roomBytes = Math.min(limitBytes, this.#roomBytes());
    if (this.#usedBytes > 0 && this.#usedBytes + costBytes > roomBytes) return 'full';
    this.#usedBytes += costBytes;
    let held = true;
    return {
      [Symbol.dispose]: () => {
        if (held) this.#usedBytes -= costBytes;
        held = false;
      },
    };
  }
}
