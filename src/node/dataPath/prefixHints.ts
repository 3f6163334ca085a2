import { createHash } from 'node:crypto';

/** Lengths in characters of the prompt heads that are remembered; longer matches save more prefill. */
const PREFIX_LENGTHS = [8192, 2048, 512];

/** Remembered prompt heads; at about 100 bytes each this is 1.6 MB. */
const MAX_HINTS = 16_384;

/** Names of the heads of a prompt, the longest first. Empty for prompts too short to matter. */
export const prefixKeysOf = (pool: string, prompt: string): readonly string[] =>
  PREFIX_LENGTHS.filter((length) => prompt.length >= length).map((length) =>
    createHash('sha1')
      .update(`${pool}|${prompt.slice(0, length)}`)
      .digest('base64'),
  );

/** Remembers which worker last got a prompt head. The least recently used head is forgotten at the bound. */
export class PrefixHints {
  readonly #workers = new Map<string, string>();

  /** Address of the worker that got the longest known head. */
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
