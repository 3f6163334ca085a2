import type { Clock } from '../../shared/clock.ts';

/**
 * Creates the clock that decides when keys expire, in ms since the Unix epoch. It follows the wall clock, but advances
 * at least as fast as the monotonic clock and never goes back: setting the wall clock back must not make an expired key
 * valid again.
 */
export const createExpiryClock = (clock: Clock): (() => number) => {
  let latestMs = clock.nowMs();
  let lastMonotonicMs = clock.monotonicMs();
  return () => {
    const monotonicMs = clock.monotonicMs();
    latestMs = Math.max(latestMs + (monotonicMs - lastMonotonicMs), clock.nowMs());
    lastMonotonicMs = monotonicMs;
    return latestMs;
  };
};

/** Number of entries checked for expiry per insertion, so that removal keeps up with insertion at a constant cost. */
const SWEEP_STEPS_PER_INSERT = 4;

/** Minimum time between two sweeps of the whole map, each of which takes a few ms at 200,000 entries. */
const FULL_SWEEP_INTERVAL_MS = 1000;

/** Map of bounded size whose entries are kept until they expire. */
export class ExpiringMap<V extends { readonly expiresAtMs: number }> {
  readonly #entries = new Map<string, V>();

  readonly #maxEntries: number;

  readonly #canRemove: (value: V) => boolean;

  #cursor = this.#entries.entries();

  #lastFullSweepMs = -Infinity;

  /**
   * @param maxEntries - maximum number of entries
   * @param canRemove - returns false for expired entries that are still in use
   */
  constructor(maxEntries: number, canRemove: (value: V) => boolean = () => true) {
    this.#maxEntries = maxEntries;
    this.#canRemove = canRemove;
  }

  get size(): number {
    return this.#entries.size;
  }

  get(key: string): V | undefined {
    return this.#entries.get(key);
  }

  /** Adds an entry. Returns false if the map is full and no expired entry could be removed. */
  add(key: string, value: V, nowMs: number): boolean {
    this.#sweepSome(nowMs);
    if (this.#entries.size >= this.#maxEntries) this.#sweepAll(nowMs);
    if (this.#entries.size >= this.#maxEntries) return false;
    this.#entries.set(key, value);
    return true;
  }

  #sweepSome(nowMs: number): void {
    for (let step = 0; step < SWEEP_STEPS_PER_INSERT; step += 1) {
      const next = this.#cursor.next();
      if (next.done) {
        this.#cursor = this.#entries.entries();
        return;
      }
      this.#removeIfExpired(next.value[0], next.value[1], nowMs);
    }
  }

  #sweepAll(nowMs: number): void {
    if (nowMs - this.#lastFullSweepMs < FULL_SWEEP_INTERVAL_MS) return;
    this.#lastFullSweepMs = nowMs;
    for (const [key, value] of this.#entries) this.#removeIfExpired(key, value, nowMs);
  }

  #removeIfExpired(key: string, value: V, nowMs: number): void {
    if (value.expiresAtMs <= nowMs && this.#canRemove(value)) this.#entries.delete(key);
  }
}
