import type { Clock } from '../../shared/clock.ts';

/** Bounds on one caller. `Infinity`: none. */
export interface CallerLimit {
  readonly maxConcurrent: number;
  readonly maxRequestsPerSecond: number;
}

interface CallerState {
  inProgress: number;
  tokens: number;
  updatedMs: number;
}

/** Callers whose state is kept. At about 150 bytes each this is 1.5 MB. */
const MAX_CALLERS = 10_000;

/** Idle callers looked at before a new one is refused for lack of room. */
const MAX_EVICTION_TRIES = 16;

export type CallerLimitResult =
  | { readonly status: 'entered' }
  | { readonly status: 'refused'; readonly code: string; readonly retryAfterMs: number };

/** Counts requests in progress and admissions per second of each caller. */
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

  /** Admits one request of a caller; `leave` must follow each `entered`. */
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

  /** Ends a request. `wasAdmitted: false` gives its admission back, because it was refused for another reason. */
  leave(key: string, wasAdmitted: boolean): void {
    const state = this.#callers.get(key);
    if (state === undefined) return;
    state.inProgress -= 1;
    if (!wasAdmitted) state.tokens += 1;
  }

  #stateOf(key: string, limit: CallerLimit): CallerState | undefined {
    const nowMs = this.#clock.monotonicMs();
    // One second's worth, so that a caller may send in bursts without exceeding its rate for longer.
    const maxTokens = Math.max(1, limit.maxRequestsPerSecond);
    let state = this.#callers.get(key);
    if (state === undefined) {
      if (this.#callers.size >= MAX_CALLERS && !this.#evictIdle()) return undefined;
      state = { inProgress: 0, tokens: maxTokens, updatedMs: nowMs };
    }
    const earned =
      limit.maxRequestsPerSecond === Infinity
        ? Infinity
        : ((nowMs - state.updatedMs) * limit.maxRequestsPerSecond) / 1000;
    state.tokens = Math.min(maxTokens, state.tokens + earned);
    state.updatedMs = nowMs;
    // The map's order is that of the last use.
    this.#callers.delete(key);
    this.#callers.set(key, state);
    return state;
  }

  #evictIdle(): boolean {
    let tries = 0;
    for (const [key, state] of this.#callers) {
      if (state.inProgress === 0) return this.#callers.delete(key);
      tries += 1;
      if (tries >= MAX_EVICTION_TRIES) return false;
    }
    return false;
  }
}
