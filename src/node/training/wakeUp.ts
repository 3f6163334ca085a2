import { type Clock, sleep } from '../../shared/clock.ts';

/** Lets loops wait for news or for a time limit, whichever comes first. */
export class WakeUp {
  readonly #clock: Clock;

  #controller = new AbortController();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Wakes everyone who waits now. */
  notify(): void {
    const controller = this.#controller;
    this.#controller = new AbortController();
    controller.abort();
  }

  /** Waits for the next `notify`, at most `limitMs`. */
  wait(limitMs = Infinity): Promise<void> {
    const { signal } = this.#controller;
    if (limitMs < Infinity) return sleep(this.#clock, limitMs, signal);
    return new Promise((resolve) => {
      signal.addEventListener('abort', () => resolve(), { once: true });
    });
  }
}
