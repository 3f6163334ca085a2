import type { Clock } from '../../shared/clock.ts';

export interface StallDetectorOptions {
  readonly clock: Clock;
  /** Time without progress after which the worker is probed, in ms. */
  readonly idleMs: number;
  /** Asks the worker over a new connection whether it still processes the request. Must have a timeout. */
  readonly probe: () => Promise<boolean>;
  /** Called at most once, when a probe finds that the request is lost. */
  readonly onStalled: () => void;
}

/**
 * Distinguishes a stalled connection from a slow response. Only time spent waiting for the worker counts, so that a
 * slow reader on the caller's side is not mistaken for a stalled worker. A lost request is detected within `idleMs`
 * plus the duration of one probe.
 */
export class StallDetector implements Disposable {
  readonly #options: StallDetectorOptions;

  #waitingSinceMs: number | undefined;

  /** Incremented with each progress, so that the result of a probe is ignored if progress occurred during the probe. */
  #progressCount = 0;

  #timer: Disposable | undefined;

  #disposed = false;

  constructor(options: StallDetectorOptions) {
    this.#options = options;
  }

  /** Starts counting idle time: the next bytes from the worker are awaited from now on. */
  startWaiting(): void {
    if (this.#disposed) return;
    this.#waitingSinceMs = this.#options.clock.monotonicMs();
    // A pending timer is kept, because rescheduling it for each chunk would cost more than one early check.
    if (this.#timer === undefined) this.#schedule(this.#options.idleMs);
  }

  /** Stops counting idle time: bytes arrived, or none are awaited at present. */
  recordProgress(): void {
    this.#waitingSinceMs = undefined;
    this.#progressCount += 1;
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
    const countAtStart = this.#progressCount;
    const isWorking = await this.#options.probe().catch(() => false);
    if (this.#disposed) return;
    if (countAtStart === this.#progressCount && !isWorking) {
      this[Symbol.dispose]();
      this.#options.onStalled();
      return;
    }
    if (this.#timer === undefined && this.#waitingSinceMs !== undefined) {
      this.#schedule(this.#options.idleMs);
    }
  }
}
