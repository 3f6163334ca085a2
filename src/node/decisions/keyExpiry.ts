import type { Clock } from '../../shared/clock.ts';

/**
 * Time by which keys expire, in ms since 1970-01-01 UTC. Follows the larger of the wall clock and monotonic progress
 * and never goes back: a clock that is set back must not make an expired key valid again.
 */
export const createExpiryTime = (clock: Clock): (() => number) => {
  let reachedMs = clock.nowMs();
  let lastMonotonicMs = clock.monotonicMs();
  return () => {
    const monotonicMs = clock.monotonicMs();
    reachedMs = Math.max(reachedMs + (monotonicMs - lastMonotonicMs), clock.nowMs());
    lastMonotonicMs = monotonicMs;
    return reachedMs;
  };
};

/** Entries looked at for each change, so that removal keeps pace with insertion at a constant cost. */
const STEPS_PER_CHANGE = 4;

/** Least time between two scans of the whole map, which take some ms at 200,000 entries. */
const FULL_SCAN_INTERVAL_MS = 1000;

/** Entries by key, bounded in count, each kept until its key expires. */
export class ExpiringMap<V extends { readonly expiresAtMs: number }> {
  readonly #entries = new Map<string, V>();

  readonly #maxEntries: number;

  readonly #mayRemove: (value: V) => boolean;

  #cursor = this.#entries.entries();

  #lastScanMs = -Infinity;

  /**
   * @param maxEntries - bound
   * @param mayRemove - false for expired entries that are still in use
   */
  constructor(maxEntries: number, mayRemove: (value: V) => boolean = () => true) {
    this.#maxEntries = maxEntries;
    this.#mayRemove = mayRemove;
  }

  get size(): number {
    return this.#entries.size;
  }

  get(key: string): V | undefined {
    return this.#entries.get(key);
  }

  /** Adds an entry. Returns false at the bound, when no entry has expired. */
  add(key: string, value: V, nowMs: number): boolean {
    this.#sweep(nowMs);
    if (this.#entries.size >= this.#maxEntries) this.#scan(nowMs);
    if (this.#entries.size >= this.#maxEntries) return false;
    this.#entries.set(key, value);
    return true;
  }

  #sweep(nowMs: number): void {
    for (let step = 0; step < STEPS_PER_CHANGE; step += 1) {
      const next = this.#cursor.next();
      if (next.done) {
        this.#cursor = this.#entries.entries();
        return;
      }
      this.#removeIfExpired(next.value[0], next.value[1], nowMs);
    }
  }

  #scan(nowMs: number): void {
    if (nowMs - this.#lastScanMs < FULL_SCAN_INTERVAL_MS) return;
    this.#lastScanMs = nowMs;
    for (const [key, value] of this.#entries) this.#removeIfExpired(key, value, nowMs);
  }

  #removeIfExpired(key: string, value: V, nowMs: number): void {
    if (value.expiresAtMs <= nowMs && this.#mayRemove(value)) this.#entries.delete(key);
  }
}
