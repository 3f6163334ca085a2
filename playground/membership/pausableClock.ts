import type { Clock } from '../../src/shared/clock.ts';

/** A process's clock: while the process is paused, its timers wait. */
export class PausableClock implements Clock {
  readonly #clock: Clock;

  readonly #waiting: (() => void)[] = [];

  paused = false;

  ended = false;

  /** Told how long each piece of the process's work took, in ms, with the promise reactions that followed. */
  onBusy: ((busyMs: number) => void) | undefined;

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

  /** Runs now, or after the pause; never after the end of the process. */
  whenRunning(run: () => void): void {
    if (this.ended) return;
    if (this.paused) {
      this.#waiting.push(run);
      return;
    }
    const { onBusy } = this;
    if (onBusy) {
      const startMs = performance.now();
      setImmediate(() => onBusy(performance.now() - startMs));
    }
    run();
  }

  resume(): void {
    this.paused = false;
    for (const run of this.#waiting.splice(0)) this.whenRunning(run);
  }
}
