import { invariant } from '../../shared/invariants.ts';

/** What a worker itself reports; `unreachable`: it did not answer. */
export interface WorkerWeights {
  readonly name: string;
  readonly state: 'ready' | 'loading' | 'leaving' | 'failed' | 'unreachable';
  /** Weight version that the worker has loaded; undefined: it did not answer. */
  readonly loaded: number | undefined;
}

/** How one order is carried out: `drain` finishes running streams first, `interrupt` cuts them. */
export type OrderManner = 'drain' | 'interrupt';

/** Which workers of a pool get the order now. */
export interface RolloutStrategyResult {
  readonly names: readonly string[];
  readonly manner: OrderManner;
}

/**
 * Chooses workers to order.
 *
 * @param waiting - workers that need the order
 * @param loading - number of workers that are loading
 * @param total - number of workers that can serve or load
 */
export type RolloutPolicy = (
  waiting: readonly string[],
  loading: number,
  total: number,
) => RolloutStrategyResult;

/** Shortest time until all workers have the version; none serves in the meantime. */
export const allAtOnce: RolloutPolicy = (waiting) => ({ names: waiting, manner: 'drain' });

/** Share of a pool that may load at the same time while the rest serves callers. */
const LOADING_FRACTION = 0.25;

const limitLoading = (waiting: readonly string[], loading: number, total: number) => {
  const atOnce = Math.max(1, Math.floor(total * LOADING_FRACTION));
  return waiting.slice(0, Math.max(0, atOnce - loading));
};

/** Keeps three quarters of the pool serving. */
export const rolling: RolloutPolicy = (waiting, loading, total) => ({
  names: limitLoading(waiting, loading, total),
  manner: 'drain',
});

/** Cuts running streams, which are resumed on other workers or on the new version. */
export const interruptResume: RolloutPolicy = (waiting) => ({
  names: waiting,
  manner: 'interrupt',
});

/**
 * Like `interruptResume`, but keeps three quarters of the pool serving, so that callers' streams resume on other workers
 * at once instead of waiting for the load (`npm run report`: p99 of callers 4.48 s against 10.27 s with all at once).
 */
export const interruptResumeForCallers: RolloutPolicy = (waiting, loading, total) => ({
  names: limitLoading(waiting, loading, total),
  manner: 'interrupt',
});

export interface WeightRolloutOptions {
  readonly policy: RolloutPolicy;
  /** Loads that the weight store allows to begin in one second. */
  readonly loadsPerSecond: number;
  /** Loads that may begin at once after a quiet time. */
  readonly burst: number;
  /** A load that takes longer has failed, in ms. */
  readonly loadTimeoutMs: number;
  /** Orders of one version given to a worker before it is left out. */
  readonly maxAttempts: number;
}

export interface RolloutOrder {
  readonly name: string;
  readonly version: number;
  readonly manner: OrderManner;
}

interface Progress {
  attempts: number;
  orderedAtMs: number | undefined;
}

/** Time after an order in which a worker may still report its old state, in ms. */
const REPORT_LAG_MS = 500;

/** Brings the workers of a pool to one weight version, going by what each worker reports. */
export class WeightRollout {
  readonly #options: WeightRolloutOptions;

  /** One entry for each listed worker that is not on the version. */
  readonly #progress = new Map<string, Progress>();

  readonly #outOfService = new Set<string>();

  #version = 0;

  #tokens: number;

  #refilledAtMs: number | undefined;

  constructor(options: WeightRolloutOptions) {
    this.#options = options;
    this.#tokens = options.burst;
  }

  /** Workers that failed to load the version repeatedly and are on no known version. */
  get outOfService(): ReadonlySet<string> {
    return this.#outOfService;
  }

  /** Whether every reachable worker has the version or has been left out, by the last call of `next`. */
  get settled(): boolean {
    const { maxAttempts } = this.#options;
    return [...this.#progress.values()].every(
      ({ attempts, orderedAtMs }) => attempts >= maxAttempts && orderedAtMs === undefined,
    );
  }

  /** Orders to give now. */
  next(version: number, workers: readonly WorkerWeights[], nowMs: number): RolloutOrder[] {
    invariant(version >= this.#version, 'desired-weights-grow', { version, last: this.#version });
    if (version > this.#version) {
      this.#version = version;
      this.#progress.clear();
      this.#outOfService.clear();
    }
    this.#forgetUnlisted(workers);
    const waiting = workers
      .filter((worker) => this.#needsOrder(worker, nowMs))
      .map(({ name }) => name);
    const loading = workers.filter(({ name }) => this.#isBusy(name)).length;
    const total = workers.filter(({ state }) => state !== 'leaving' && state !== 'unreachable');
    const { names, manner } = this.#options.policy(waiting, loading, total.length);
    return names.slice(0, this.#takeTokens(names.length, nowMs)).map((name) => {
      const progress = this.#progress.get(name);
      this.#progress.set(name, { attempts: (progress?.attempts ?? 0) + 1, orderedAtMs: nowMs });
      return { name, version, manner };
    });
  }

  #needsOrder({ name, state, loaded }: WorkerWeights, nowMs: number): boolean {
    if (state === 'ready' && loaded === this.#version) {
      this.#progress.delete(name);
      this.#outOfService.delete(name);
      return false;
    }
    if (state === 'leaving' || state === 'unreachable') {
      this.#progress.delete(name);
      return false;
    }
    const progress = this.#progress.get(name) ?? { attempts: 0, orderedAtMs: undefined };
    this.#progress.set(name, progress);
    if (progress.orderedAtMs !== undefined) {
      const sinceMs = nowMs - progress.orderedAtMs;
      const limitMs = state === 'loading' ? this.#options.loadTimeoutMs : REPORT_LAG_MS;
      if (sinceMs < limitMs) return false;
      progress.orderedAtMs = undefined;
    } else if (state === 'loading') {
      // Another holder's order; its end is awaited like the end of an own order.
      progress.orderedAtMs = nowMs;
      return false;
    }
    if (progress.attempts < this.#options.maxAttempts) return true;
    if (state !== 'ready') this.#outOfService.add(name);
    return false;
  }

  #isBusy(name: string): boolean {
    return this.#progress.get(name)?.orderedAtMs !== undefined;
  }

  #forgetUnlisted(workers: readonly WorkerWeights[]): void {
    const listed = new Set(workers.map(({ name }) => name));
    for (const name of this.#progress.keys()) if (!listed.has(name)) this.#progress.delete(name);
    for (const name of this.#outOfService) if (!listed.has(name)) this.#outOfService.delete(name);
  }

  #takeTokens(wanted: number, nowMs: number): number {
    const { loadsPerSecond, burst } = this.#options;
    const sinceMs = nowMs - (this.#refilledAtMs ?? nowMs);
    this.#tokens = Math.min(burst, this.#tokens + (sinceMs * loadsPerSecond) / 1000);
    this.#refilledAtMs = nowMs;
    const taken = Math.min(wanted, Math.floor(this.#tokens));
    this.#tokens -= taken;
    return taken;
  }
}
