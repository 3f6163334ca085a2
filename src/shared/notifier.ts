import type { Clock } from './clock.ts';

/** Lets loops wait for a notification or a time limit, whichever comes first. */
export class Notifier {
  readonly #clock: Clock;

  /**
   * Not an AbortSignal: each abort creates an exception with a stack trace, and `notify` is called for every sample.
   */
  readonly #waiters = new Set<() => void>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Wakes all current waiters. */
  notify(): void {
    for (const wake of [...this.#waiters]) wake();
  }

  /** Waits for the next `notify`, at most `limitMs`. */
  wait(limitMs = Infinity): Promise<void> {
    return new Promise((resolve) => {
      let timer: Disposable | undefined;
      const wake = () => {
        this.#waiters.delete(wake);
        timer?.[Symbol.dispose]();
        resolve();
      };
      this.#waiters.add(wake);
      if (limitMs < Infinity) timer = this.#clock.schedule(limitMs, wake);
    });
  }
}
