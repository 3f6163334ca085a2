import type { Clock } from '../../../src/shared/clock.ts';

/**
 * A simulated process that can be paused, resumed and killed. All timers and messages of the process must be delivered
 * through `deliver`.
 */
export class ModelProcess implements Clock {
  readonly #clock: Clock;

  readonly #queue: (() => void)[] = [];

  #state: 'running' | 'paused' | 'dead' = 'running';

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get running(): boolean {
    return this.#state === 'running';
  }

  nowMs(): number {
    return this.#clock.nowMs();
  }

  monotonicMs(): number {
    return this.#clock.monotonicMs();
  }

  schedule(delayMs: number, callback: () => void): Disposable {
    let disposed = false;
    const timer = this.#clock.schedule(delayMs, () =>
      this.deliver(() => {
        if (!disposed) callback();
      }),
    );
    return {
      [Symbol.dispose]() {
        disposed = true;
        timer[Symbol.dispose]();
      },
    };
  }

  /** Runs the callback immediately, or after `resume` if the process is paused. Drops it if the process was killed. */
  deliver(callback: () => void): void {
    if (this.#state === 'running') callback();
    else if (this.#state === 'paused') this.#queue.push(callback);
  }

  pause(): void {
    if (this.#state === 'running') this.#state = 'paused';
  }

  resume(): void {
    if (this.#state !== 'paused') return;
    this.#state = 'running';
    for (const callback of this.#queue.splice(0)) {
      this.#clock.schedule(0, () => this.deliver(callback));
    }
  }

  kill(): void {
    this.#state = 'dead';
  }
}
