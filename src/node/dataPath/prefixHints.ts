import { createHash } from 'node:crypto';

/** Lengths of the prompt prefixes that are tracked, in characters. A longer match saves more prefill. */
const PREFIX_LENGTHS = [8192, 2048, 512];

/** Maximum number of tracked prefixes; at about 100 bytes each they take 1.6 MB. */
const MAX_HINTS = 16_384;

/** Hash keys of a prompt's prefixes, longest first. Empty for prompts shorter than the shortest tracked length. */
export const prefixKeysOf = (pool: string, prompt: string): readonly string[] =>
  PREFIX_LENGTHS.filter((length) => prompt.length >= length).map((length) =>
    createHash('sha1')
      .update(`${pool}|${prompt.slice(0, length)}`)
      .digest('base64'),
  );

/** Tracks which worker last received each prompt prefix. At the limit the least recently recorded one is evicted. */
export class PrefixHints {
  readonly #workers = new Map<string, string>();

  /** Address of the worker that last received the longest tracked prefix. */
  find(keys: readonly string[]): string | undefined {
    const known = keys.find((key) => this.#workers.has(key));
    return known === undefined ? undefined : this.#workers.get(known);
  }

  record(keys: readonly string[], address: string): void {
    for (const key of keys) {
      this.#workers.delete(key);
      this.#workers.set(key, address);
    }
    for (const key of this.#workers.keys()) {
      if (this.#workers.size <= MAX_HINTS) break;
      this.#workers.delete(key);
    }
  }
}
