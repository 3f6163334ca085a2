import { createHash } from 'node:crypto';

/**
 * Filter size, 512 KiB for each of two generations. 600,000 refusals within a key's lifetime give 3.5% false positives.
 */
const FILTER_BITS = 2 ** 22;

const HASH_COUNT = 4;

const bitPositions = (key: string): number[] => {
  const digest = createHash('sha256').update(key).digest();
  return Array.from(
    { length: HASH_COUNT },
    (_, index) => digest.readUInt32LE(index * 4) % FILTER_BITS,
  );
};

/**
 * Records in bounded memory the idempotency keys that their home node refused without keeping a record, so that a
 * repeat cannot run after its caller got `not-run`. A Bloom filter is safe here: a false positive only refuses a
 * key that was not refused before. Two generations rotate, so each key is kept for at least one lifetime.
 */
export class RefusedKeys {
  readonly #lifetimeMs: number;

  #current: Uint8Array | undefined;

  #previous: Uint8Array | undefined;

  #startedAtMs = -Infinity;

  /** @param lifetimeMs - maximum remaining lifetime of a key, in ms */
  constructor(lifetimeMs: number) {
    this.#lifetimeMs = lifetimeMs;
  }

  add(key: string, nowMs: number): void {
    this.#rotate(nowMs);
    this.#current ??= new Uint8Array(FILTER_BITS / 8);
    for (const position of bitPositions(key)) {
      const index = Math.floor(position / 8);
      // eslint-disable-next-line no-bitwise
      this.#current[index] = (this.#current[index] ?? 0) | (1 << (position % 8));
    }
  }

  has(key: string, nowMs: number): boolean {
    this.#rotate(nowMs);
    const generations = [this.#current, this.#previous].filter((bits) => bits !== undefined);
    if (generations.length === 0) return false;
    const positions = bitPositions(key);
    return generations.some((bits) =>
      positions.every(
        // eslint-disable-next-line no-bitwise
        (position) => ((bits[Math.floor(position / 8)] ?? 0) & (1 << (position % 8))) !== 0,
      ),
    );
  }

  #rotate(nowMs: number): void {
    const ageMs = nowMs - this.#startedAtMs;
    if (ageMs < this.#lifetimeMs) return;
    this.#previous = ageMs < 2 * this.#lifetimeMs ? this.#current : undefined;
    this.#current = undefined;
    this.#startedAtMs = nowMs;
  }
}
