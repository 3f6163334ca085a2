/** Memory for a value of JSON beyond its text, in bytes: an empty object takes 56, a member of a message more. */
const VALUE_BYTES = 100;

/** The text of a submission exists three times for a while: as text, as parsed strings and as decoded bytes. */
const TEXT_COPIES = 3;

/** Long strings are decoded from the bytes of the body and encoded again to be stored. */
const LONG_COPIES = 2;

const COMMA = 0x2c;
const OPEN_BRACKET = 0x5b;
const OPEN_BRACE = 0x7b;

/**
 * Most memory that decoding a JSON text occupies, in bytes. A text of many empty values costs many times its bytes.
 *
 * @param longBytes - bytes of long strings, which are not parsed with the rest
 */
export const decodeCost = (text: Uint8Array, longBytes: number): number => {
  let values = 1;
  for (const byte of text) {
    if (byte === COMMA || byte === OPEN_BRACKET || byte === OPEN_BRACE) values += 1;
  }
  const textBytes = text.length - longBytes;
  return TEXT_COPIES * textBytes + LONG_COPIES * longBytes + VALUE_BYTES * values;
};

/**
 * Bounds the memory of texts that are decoded and stored at the same time. Addresses a load of many large batch
 * submissions, whose decoding multiplies their bytes.
 */
export class DecodeBudget {
  readonly #limitBytes: () => number;

  #usedBytes = 0;

  constructor(limitBytes: () => number) {
    this.#limitBytes = limitBytes;
  }

  get usedBytes(): number {
    return this.#usedBytes;
  }

  /**
   * Takes memory until the result is disposed of. `full`: there is none now; `never`: the text does not fit even alone.
   */
  take(costBytes: number): Disposable | 'full' | 'never' {
    if (costBytes > this.#limitBytes()) return 'never';
    if (this.#usedBytes + costBytes > this.#limitBytes()) return 'full';
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
