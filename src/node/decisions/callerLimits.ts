import type { Clock } from '../../shared/clock.ts';

/** Limits of one caller; `Infinity` means unlimited. */
export interface CallerLimit {
  readonly maxConcurrent: number;
  readonly maxRequestsPerSecond: number;
}

interface CallerState {
  inProgress: number;
  tokens: number;
  refilledAtMs: number;
}

/** Maximum number of callers whose state is kept; at about 150 bytes each they take 1.5 MB. */
const MAX_CALLERS = 10_000;

/** Number of least recently used callers checked for an idle one before a new caller is refused. */
const MAX_EVICTION_PROBES = 16;

export type CallerLimitResult =
  | { readonly status: 'entered' }
  | { readonly status: 'refused'; readonly code: string; readonly retryAfterMs: number };

/** Limits each caller's concurrent requests, and its request rate with a token bucket. */
export class CallerLimits {
  readonly #clock: Clock;

  readonly #callers = new Map<string, CallerState>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Number of callers whose state is kept. */
  get size(): number {
    return this.#callers.size;
  }

  /** Admits or refuses one request of a caller. Each `entered` must be followed by a call to `leave`. */
  enter(key: string, limit: CallerLimit): CallerLimitResult {
    const state = this.#stateOf(key, limit);
    if (state === undefined) {
      return { status: 'refused', code: 'too-many-callers', retryAfterMs: 1000 };
    }
    if (state.inProgress >= limit.maxConcurrent) {
      return { status: 'refused', code: 'caller-concurrency-limit', retryAfterMs: 1000 };
    }
    if (state.tokens < 1) {
      const retryAfterMs = ((1 - state.tokens) * 1000) / limit.maxRequestsPerSecond;
      return { status: 'refused', code: 'caller-rate-limit', retryAfterMs };
    }
    state.tokens -= 1;
    state.inProgress += 1;
    return { status: 'entered' };
  }

  /** Ends a request. With `wasAdmitted: false` its token is returned, because the request was refused elsewhere. */
  leave(key: string, wasAdmitted: boolean): void {
    const state = this.#callers.get(key);
    if (state === undefined) return;
    state.inProgress -= 1;
    if (!wasAdmitted) state.tokens += 1;
  }

  #stateOf(key: string, limit: CallerLimit): CallerState | undefined {
    const nowMs = this.#clock.monotonicMs();
    // The bucket holds the tokens of one second: a caller may send bursts, but cannot exceed its rate for longer.
    const maxTokens = Math.max(1, limit.maxRequestsPerSecond);
    let state = this.#callers.get(key);
    if (state === undefined) {
      if (this.#callers.size >= MAX_CALLERS && !this.#evictIdle()) return undefined;
      state = { inProgress: 0, tokens: maxTokens, refilledAtMs: nowMs };
    }
    const refill =
      limit.maxRequestsPerSecond === Infinity
        ? Infinity
        : ((nowMs - state.refilledAtMs) * limit.maxRequestsPerSecond) / 1000;
    state.tokens = Math.min(maxTokens, state.tokens + refill);
    state.refilledAtMs = nowMs;
    // Re-inserted, so that the map is ordered from least to most recently used.
    this.#callers.delete(key);
    this.#callers.set(key, state);
    return state;
  }

  #evictIdle(): boolean {
    let probes = 0;
    for (const [key, state] of this.#callers) {
      if (state.inProgress === 0) return this.#callers.delete(key);
      probes += 1;
      if (probes >= MAX_EVICTION_PROBES) return false;
    }
    return false;
  }
}
