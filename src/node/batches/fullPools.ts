import { type Clock, Stopwatch } from '../../shared/clock.ts';
import { FULL_POOL_MS } from './constants.ts';

/** Remembers for a short time which pools' dispatchers have no memory for the items of further batches. */
export class FullPools {
  readonly #clock: Clock;

  /** Time since a dispatcher said so, by pool. */
  readonly #since = new Map<string, Stopwatch>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records what the dispatcher of a pool has said. */
  record(pool: string, isFull: boolean): void {
    if (isFull) this.#since.set(pool, new Stopwatch(this.#clock));
    else this.#since.delete(pool);
  }

  has(pool: string): boolean {
    const sinceMs = this.#since.get(pool)?.elapsedMs() ?? Infinity;
    if (sinceMs >= FULL_POOL_MS) this.#since.delete(pool);
    return sinceMs < FULL_POOL_MS;
  }
}
