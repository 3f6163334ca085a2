import type { Clock } from '../../shared/clock.ts';
import type { RequestLimits } from '../decisions/requestLimits.ts';
import type { RegisteredWorker } from '../gateway/workerRegistry.ts';
import type { RequestPermits } from '../limits/requestPermits.ts';

/** Time for which an unused permit stays valid, in ms; a longer one would let a worker get a burst. */
const PERMIT_TTL_MS = 1000;

/** Longest delay of a permit that is asked for ahead, in ms. */
const MAX_PERMIT_DELAY_MS = 250;

/** Maximum number of permits that are asked for at once. */
const MAX_PERMITS_ASKED = 16;

interface HeldPermit {
  readonly worker: string;
  /** Monotonic time from which the permit may be used, in ms. */
  readonly fromMs: number;
}

export interface EnginePermitsOptions {
  readonly pool: string;
  readonly clock: Clock;
  readonly limits: Pick<RequestLimits, 'of'>;
  readonly permits: Pick<RequestPermits, 'obtain'>;
}

/** Permits that a dispatcher holds to start items on engines with a request limit. */
export class EnginePermits {
  readonly #options: EnginePermitsOptions;

  #held: HeldPermit[] = [];

  #asking = false;

  constructor(options: EnginePermitsOptions) {
    this.#options = options;
  }

  /** Number of items that may be started on a worker now. */
  available(worker: string): number {
    const { limits, clock } = this.#options;
    if (limits.of(worker) === undefined) return Infinity;
    this.#dropExpired();
    const nowMs = clock.monotonicMs();
    return this.#held.filter((permit) => permit.worker === worker && permit.fromMs <= nowMs).length;
  }

  /** Uses up a permit when an item is started. */
  use(worker: string): void {
    const index = this.#held.findIndex((permit) => permit.worker === worker);
    if (index >= 0) this.#held.splice(index, 1);
  }

  /**
   * Asks for permits, unless a request for some is in progress.
   *
   * @param workers - workers with free slots
   * @param count - number of items that wait
   * @param onReady - called when a permit has become usable, or when it is time to ask again
   */
  async ask(
    workers: readonly RegisteredWorker[],
    count: number,
    onReady: () => void,
  ): Promise<void> {
    const { pool, clock, limits, permits } = this.#options;
    this.#dropExpired();
    const limited = workers.filter(({ id }) => limits.of(id) !== undefined);
    const missing = Math.min(MAX_PERMITS_ASKED, count - this.#held.length);
    if (this.#asking || limited.length === 0 || missing <= 0) return;
    this.#asking = true;
    const grant = await permits.obtain({
      ...{ pool, workers: limited, count: missing },
      maxDelayMs: MAX_PERMIT_DELAY_MS,
    });
    const receivedMs = clock.monotonicMs();
    for (const { worker, delayMs } of grant.permits) {
      this.#held.push({ worker, fromMs: receivedMs + delayMs });
      clock.schedule(delayMs, onReady);
    }
    clock.schedule(grant.retryAfterMs, () => {
      this.#asking = false;
      onReady();
    });
  }

  #dropExpired(): void {
    const nowMs = this.#options.clock.monotonicMs();
    this.#held = this.#held.filter(({ fromMs }) => nowMs - fromMs < PERMIT_TTL_MS);
  }
}
