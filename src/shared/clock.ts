/** Source of time and timers. Injected everywhere so that tests can run on virtual time. */
export interface Clock {
  /** Wall clock, in ms since 1970-01-01 UTC. May jump in both directions. */
  nowMs(): number;
  /** Monotonic clock, in ms since an arbitrary start. May stop while the VM is suspended. */
  monotonicMs(): number;
  /** Calls `callback` once after `delayMs`. Disposing the result cancels it. */
  schedule(delayMs: number, callback: () => void): Disposable;
}

/** Longest delay of a timer of Node, in ms. A longer one would expire at once. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** The clock of the running process. */
export const systemClock: Clock = {
  nowMs: () => Date.now(),
  monotonicMs: () => performance.now(),
  schedule(delayMs, callback) {
    let timer: NodeJS.Timeout;
    const start = (leftMs: number) => {
      timer =
        leftMs > MAX_TIMER_MS
          ? setTimeout(() => start(leftMs - MAX_TIMER_MS), MAX_TIMER_MS)
          : setTimeout(callback, leftMs);
    };
    start(delayMs);
    return { [Symbol.dispose]: () => clearTimeout(timer) };
  },
};

/** Resolves after `delayMs`, or earlier when `signal` is aborted. */
export const sleep = (clock: Clock, delayMs: number, signal?: AbortSignal): Promise<void> =>
  new Promise((resolve) => {
    if (signal?.aborted) {
      resolve();
      return;
    }
    const timer = clock.schedule(delayMs, () => {
      // eslint-disable-next-line @typescript-eslint/no-use-before-define
      signal?.removeEventListener('abort', onAbort);
      resolve();
    });
    const onAbort = () => {
      timer[Symbol.dispose]();
      resolve();
    };
    signal?.addEventListener('abort', onAbort, { once: true });
  });

/**
 * Measures elapsed time with both clocks and reports the larger value, so that neither a suspended VM (whose monotonic
 * clock stops) nor a wall clock that is set back makes a deadline appear further away than it is.
 */
export class Stopwatch {
  readonly #clock: Clock;

  #startWallMs: number;

  #startMonotonicMs: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#startWallMs = clock.nowMs();
    this.#startMonotonicMs = clock.monotonicMs();
  }

  /** Elapsed time in ms since construction or the last `restart`. */
  elapsedMs(): number {
    return Math.max(
      this.#clock.nowMs() - this.#startWallMs,
      this.#clock.monotonicMs() - this.#startMonotonicMs,
    );
  }

  /**
   * Time in ms that has passed by both clocks: the smaller value, at least 0. For waits that must not end early even
   * when the wall clock is set forward.
   */
  minElapsedMs(): number {
    const wallMs = this.#clock.nowMs() - this.#startWallMs;
    return Math.max(0, Math.min(wallMs, this.#clock.monotonicMs() - this.#startMonotonicMs));
  }

  restart(): void {
    this.#startWallMs = this.#clock.nowMs();
    this.#startMonotonicMs = this.#clock.monotonicMs();
  }
}
