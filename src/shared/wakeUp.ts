import type { Clock } from './clock.ts';

/** Lets loops wait for news or for a time limit, whichever comes first. */
export class WakeUp {
  readonly #clock: Clock;

  /** Not an AbortSignal: each abort makes an exception with a stack trace, and this is called for every sample. */
  readonly #waiting = new Set<() => void>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Wakes everyone who waits now. */
  notify(): void {
    for (const wake of [...this.#waiting]) wake();
  }

  /** Waits for the next `notify`, at most `limitMs`. */
  wait(limitMs = Infinity): Promise<void> {
    return new Promise((resolve) => {
      let timer: Disposable | undefined;
      const wake = () => {
        this.#waiting.delete(wake);
        timer?.[Symbol.dispose]();
        resolve();
      };
      this.#waiting.add(wake);
      if (limitMs < Infinity) timer = this.#clock.schedule(limitMs, wake);
    });
  }
}
