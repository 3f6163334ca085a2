import type { Clock } from '../../src/shared/clock.ts';

/** Clock of a simulated process. Timers that become due while the process is paused run when it resumes. */
export class PausableClock implements Clock {
  readonly #clock: Clock;

  readonly #queue: (() => void)[] = [];

  paused = false;

  ended = false;

  /** Called after each callback with the time in ms that it and the promise reactions it caused have taken. */
  onCallbackDone: ((busyMs: number) => void) | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  nowMs(): number {
    return this.#clock.nowMs();
  }

  monotonicMs(): number {
    return this.#clock.monotonicMs();
  }

  schedule(delayMs: number, callback: () => void): Disposable {
    let cancelled = false;
    const timer = this.#clock.schedule(delayMs, () =>
      this.whenRunning(() => {
        if (!cancelled) callback();
      }),
    );
    return {
      [Symbol.dispose]() {
        cancelled = true;
        timer[Symbol.dispose]();
      },
    };
  }

  /** Runs the callback immediately, or after `resume` if the process is paused. Drops it if the process has ended. */
  whenRunning(callback: () => void): void {
    if (this.ended) return;
    if (this.paused) {
      this.#queue.push(callback);
      return;
    }
    const { onCallbackDone } = this;
    if (onCallbackDone) {
      const startMs = performance.now();
      setImmediate(() => onCallbackDone(performance.now() - startMs));
    }
    callback();
  }

  resume(): void {
    this.paused = false;
    for (const callback of this.#queue.splice(0)) this.whenRunning(callback);
  }
}
