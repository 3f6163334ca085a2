import type { Clock } from '../../shared/clock.ts';

/**
 * Monotonic time without the times in which this process did not run. After a pause, timers run before the bytes that
 * arrived meanwhile are read: by the monotonic clock, every connection seems silent then.
 */
export class ObservedTime {
  readonly #clock: Pick<Clock, 'monotonicMs'>;

  readonly #maxStepMs: number;

  #observedAtMs: number;

  #observedMs = 0;

  /** @param maxStepMs - time between two calls of `observe` from which the process counts as paused */
  constructor(clock: Pick<Clock, 'monotonicMs'>, maxStepMs: number) {
    this.#clock = clock;
    this.#maxStepMs = maxStepMs;
    this.#observedAtMs = clock.monotonicMs();
  }

  /** Time since an arbitrary start, in ms. */
  get nowMs(): number {
    const sinceMs = this.#clock.monotonicMs() - this.#observedAtMs;
    return this.#observedMs + Math.min(this.#maxStepMs, sinceMs);
  }

  /**
   * To be called regularly, as often as the process gets to it.
   *
   * @returns time since the last call in which the process did not run, in ms
   */
  observe(): number {
    const sinceMs = this.#clock.monotonicMs() - this.#observedAtMs;
    this.#observedMs = this.nowMs;
    this.#observedAtMs += sinceMs;
    return Math.max(0, sinceMs - this.#maxStepMs);
  }
}
