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

/** Items that wait for permits, and the workers that could run them. */
export interface PermitDemand {
  readonly workers: readonly RegisteredWorker[];
  /** Number of items that the workers could start now. */
  readonly count: number;
}

/** Permits that a dispatcher holds to start items on engines with a request limit. */
export class EnginePermits {
  readonly #options: EnginePermitsOptions;

  #held: HeldPermit[] = [];

  #asking = false;

  /** Monotonic time from which a worker whose permits were denied is asked for again, in ms, by worker. */
  readonly #deniedUntilMs = new Map<string, number>();

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
   * Asks for the permits of the first demand that lacks some, unless a request for some is in progress. A permit is for one
   * worker, and the issuer does not know which items it can run, so each demand names only workers that could run its items.
   *
   * @param demands - the most urgent one first
   * @param onReady - called when a permit has become usable, or when it is time to ask again
   */
  async ask(demands: Iterable<PermitDemand>, onReady: () => void): Promise<void> {
    const { pool, clock, permits } = this.#options;
    if (this.#asking) return;
    this.#dropExpired();
    const due = this.#firstLacking(demands);
    if (due === undefined) return;
    this.#asking = true;
    const grant = await permits
      .obtain({ ...{ pool, ...due }, maxDelayMs: MAX_PERMIT_DELAY_MS })
      .finally(() => {
        this.#asking = false;
      });
    const receivedMs = clock.monotonicMs();
    for (const { worker, delayMs } of grant.permits) {
      this.#held.push({ worker, fromMs: receivedMs + delayMs });
      clock.schedule(delayMs, onReady);
    }
    if (grant.retryAfterMs > 0) {
      const untilMs = receivedMs + grant.retryAfterMs;
      for (const { id } of due.workers) this.#deniedUntilMs.set(id, untilMs);
    }
    clock.schedule(grant.retryAfterMs, onReady);
  }

  #firstLacking(demands: Iterable<PermitDemand>): PermitDemand | undefined {
    const { limits, clock } = this.#options;
    const nowMs = clock.monotonicMs();
    for (const { workers, count } of demands) {
      const limited = workers.filter(({ id }) => limits.of(id) !== undefined);
      const askable = limited.filter(({ id }) => (this.#deniedUntilMs.get(id) ?? 0) <= nowMs);
      const ids = new Set(limited.map(({ id }) => id));
      const held = this.#held.filter(({ worker }) => ids.has(worker)).length;
      const missing = Math.min(MAX_PERMITS_ASKED, count - held);
      if (askable.length > 0 && missing > 0) return { workers: askable, count: missing };
    }
    return undefined;
  }

  #dropExpired(): void {
    const nowMs = this.#options.clock.monotonicMs();
    this.#held = this.#held.filter(({ fromMs }) => nowMs - fromMs < PERMIT_TTL_MS);
    for (const [worker, untilMs] of this.#deniedUntilMs) {
      if (untilMs <= nowMs) this.#deniedUntilMs.delete(worker);
    }
  }
}
