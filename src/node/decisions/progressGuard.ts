import type { Clock } from '../../shared/clock.ts';

export interface ProgressGuardOptions {
  readonly clock: Clock;
  /** Time without progress after which the worker is probed, in ms. */
  readonly idleMs: number;
  /** Asks the worker on a new connection whether it still works on the request. Must be bounded in time. */
  readonly probe: () => Promise<boolean>;
  /** Called at most once, when a probe found that the request is lost. */
  readonly onSilent: () => void;
}

/**
 * Tells a silent connection from a slow answer. Only time spent waiting for the worker counts, so that a slow reader on
 * the other side is not mistaken for a silent worker. A lost request is found within `idleMs` plus the time of a probe.
 */
export class ProgressGuard implements Disposable {
  readonly #options: ProgressGuardOptions;

  #waitingSinceMs: number | undefined;

  /** Changes with each progress, so that a probe that was overtaken by progress is ignored. */
  #epoch = 0;

  #timer: Disposable | undefined;

  #disposed = false;

  constructor(options: ProgressGuardOptions) {
    this.#options = options;
  }

  /** The worker's next bytes are awaited from now on. */
  wait(): void {
    if (this.#disposed) return;
    this.#waitingSinceMs = this.#options.clock.monotonicMs();
    // A pending timer is kept: moving it for each chunk would cost more than one early check.
    if (this.#timer === undefined) this.#schedule(this.#options.idleMs);
  }

  /** Bytes arrived, or nobody waits for them now. */
  progress(): void {
    this.#waitingSinceMs = undefined;
    this.#epoch += 1;
  }

  [Symbol.dispose](): void {
    this.#disposed = true;
    this.#timer?.[Symbol.dispose]();
    this.#timer = undefined;
  }

  #schedule(delayMs: number): void {
    this.#timer = this.#options.clock.schedule(delayMs, () => {
      this.#timer = undefined;
      this.#check();
    });
  }

  #check(): void {
    const { clock, idleMs } = this.#options;
    if (this.#disposed || this.#waitingSinceMs === undefined) return;
    const remainingMs = idleMs - (clock.monotonicMs() - this.#waitingSinceMs);
    if (remainingMs > 0) this.#schedule(remainingMs);
    else void this.#probe();
  }

  async #probe(): Promise<void> {
    const epoch = this.#epoch;
    const isWorking = await this.#options.probe().catch(() => false);
    if (this.#disposed) return;
    if (epoch === this.#epoch && !isWorking) {
      this[Symbol.dispose]();
      this.#options.onSilent();
      return;
    }
    if (this.#timer === undefined && this.#waitingSinceMs !== undefined) {
      this.#schedule(this.#options.idleMs);
    }
  }
}
