import type { Clock } from '../../../src/shared/clock.ts';

/** A process of the model: it can be paused, resumed and killed. Everything that reaches it goes through `deliver`. */
export class ModelProcess implements Clock {
  readonly #world: Clock;

  readonly #queue: (() => void)[] = [];

  #state: 'running' | 'paused' | 'dead' = 'running';

  constructor(world: Clock) {
    this.#world = world;
  }

  get running(): boolean {
    return this.#state === 'running';
  }

  nowMs(): number {
    return this.#world.nowMs();
  }

  monotonicMs(): number {
    return this.#world.monotonicMs();
  }

  schedule(delayMs: number, callback: () => void): Disposable {
    let disposed = false;
    const timer = this.#world.schedule(delayMs, () =>
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

  /** Runs the callback now, after the pause, or never. */
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
      this.#world.schedule(0, () => this.deliver(callback));
    }
  }

  kill(): void {
    this.#state = 'dead';
  }
}
