import { decodeBase64 } from './base64.ts';
import { releaseBytes } from './byteCollector.ts';
import { newId } from './random.ts';

/** Strings of fewer bytes are parsed with the rest of the text. */
const MIN_LONG_BYTES = 1024;

const QUOTE = 0x22;
const BACKSLASH = 0x5c;

/** A long string of a JSON text, by its position among the bytes. */
interface LongString {
  readonly start: number;
  readonly end: number;
}

/** Number of backslashes directly before a position. */
const countBackslashes = (bytes: Buffer, position: number): number => {
  let count = 0;
  while (bytes[position - 1 - count] === BACKSLASH) count += 1;
  return count;
};

/** Position of the quote that ends the string whose contents begin at `start`; undefined where there is none. */
const findEnd = (bytes: Buffer, start: number): number | undefined => {
  for (let end = bytes.indexOf(QUOTE, start); end >= 0; end = bytes.indexOf(QUOTE, end + 1)) {
    if (countBackslashes(bytes, end) % 2 === 0) return end;
  }
  return undefined;
};

/**
 * A JSON text without the long values of one field, which are read from the bytes when they are needed. So that decoding a
 * body of many megabytes does not put copies of all of it on the heap.
 */
export class LongStrings {
  /** The text, with a short placeholder for each long value of the field. */
  readonly text: string;

  /** Number of bytes that the text does not contain. */
  readonly longBytes: number;

  readonly #bytes: Buffer;

  readonly #marker = `\u{1}${newId()}:`;

  readonly #strings: LongString[] = [];

  /** @param field - name of the field whose long values, without escapes, are left out */
  constructor(bytes: Buffer, field: string) {
    this.#bytes = bytes;
    const parts: string[] = [];
    const key = new RegExp(`"${field}"\\s*:\\s*$`);
    const keyBytes = field.length + 16;
    let copied = 0;
    let position = bytes.indexOf(QUOTE);
    while (position >= 0) {
      const start = position + 1;
      const end = findEnd(bytes, start);
      if (end === undefined) break;
      const isLong = end - start >= MIN_LONG_BYTES;
      if (
        isLong &&
        key.test(bytes.toString('latin1', Math.max(0, position - keyBytes), position))
      ) {
        if (!bytes.subarray(start, end).includes(BACKSLASH)) {
          parts.push(bytes.toString('utf8', copied, start));
          parts.push(JSON.stringify(`${this.#marker}${this.#strings.length}`).slice(1, -1));
          this.#strings.push({ start, end });
          copied = end;
        }
      }
      position = bytes.indexOf(QUOTE, end + 1);
    }
    parts.push(bytes.toString('utf8', copied));
    this.text = parts.join('');
    this.longBytes = this.#strings.reduce((sum, { start, end }) => sum + end - start, 0);
  }

  /** The string that a value of the parsed text stands for. */
  resolve(value: string): string {
    const string = this.#find(value);
    return string === undefined ? value : this.#bytes.toString('utf8', string.start, string.end);
  }

  /** The bytes for which a value of the parsed text stands as base64. They share their memory with nothing else. */
  decodeBase64(value: string): Uint8Array {
    const string = this.#find(value);
    return decodeBase64(
      string === undefined ? Buffer.from(value) : this.#bytes.subarray(string.start, string.end),
    );
  }

  /** Returns the memory of the text. Nothing can be resolved any more. */
  release(): void {
    releaseBytes(this.#bytes);
    this.#strings.length = 0;
  }

  #find(value: string): LongString | undefined {
    if (!value.startsWith(this.#marker)) return undefined;
    return this.#strings[Number(value.slice(this.#marker.length))];
  }
}
