import type { Clock } from '../../shared/clock.ts';

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
    this.#timer = this.#clock.schedule(limitMs, this.#onStalled);
  }

  /** The worker's bytes have arrived. While the caller reads slowly, no time counts. */
  stop(): void {
    this.#timer?.[Symbol.dispose]();
    this.#timer = undefined;
  }
}
