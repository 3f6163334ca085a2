import type { Clock } from '../../shared/clock.ts';

/**
 * Time after the limit in which bytes that have arrived are read, in ms. If the process was paused, all timers that are
 * due run before anything is read.
 */
const READ_GRACE_MS = 50;

/** Calls `onStalled` when a wait for a worker takes too long. */
export class StallTimer {
  readonly #clock: Clock;

  readonly #onStalled: () => void;

  #timer: Disposable | undefined;

  constructor(clock: Clock, onStalled: () => void) {
    this.#clock = clock;
    this.#onStalled = onStalled;
  }

  /** Starts to wait for the worker's next bytes. */
  wait(limitMs: number): void {
    this.stop();
    this.#timer = this.#clock.schedule(limitMs, () => {
      this.#timer = this.#clock.schedule(READ_GRACE_MS, this.#onStalled);
    });
  }

  /** The worker's bytes have arrived. While the caller reads slowly, no time counts. */
  stop(): void {
    this.#timer?.[Symbol.dispose]();
    this.#timer = undefined;
  }
}
