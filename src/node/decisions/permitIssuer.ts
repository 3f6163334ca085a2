import { invariant } from '../../shared/invariants.ts';

/** A worker with its request limit. */
export interface LimitedWorker {
  readonly id: string;
  /** Requests per second. */
  readonly perSecond: number;
}

/** The right to send one request to a worker after a delay. */
export interface IssuedPermit {
  readonly worker: string;
  readonly delayMs: number;
}

export interface IssueRequest {
  /** Pool of the workers. Those who are refused return one after the other for each pool. */
  readonly pool: string;
  readonly workers: readonly LimitedWorker[];
  readonly count: number;
  /** Longest delay of a permit, in ms. */
  readonly maxDelayMs: number;
  /** Part of each limit that this node may issue, above 0 and at most 1. */
  readonly share: number;
}

export interface IssueResult {
  readonly permits: readonly IssuedPermit[];
  /** When to ask for the missing permits, in ms; 0 when none is missing. */
  readonly retryAfterMs: number;
}

/** Time whose requests an idle worker may get at once, in ms, and the number of requests added to them. */
const BURST_MS = 1000;
const BURST_REQUESTS = 1;

/** Longest time for which a worker gets nothing because it got too much before, in ms: a short wait for callers. */
const MAX_DEBT_MS = 1000;

/** Rate at which a worker whose limit is 0 is tried, per second; only an answer tells that the limit has ended. */
const MIN_PER_SECOND = 0.1;

/** Longest time after which those who are refused are told to return, in ms. */
const MAX_RETURN_MS = 3000;

/** Maximum number of tracked workers and pools: three times the workers of the design size. */
const MAX_TRACKED = 33_000;

const paceOf = ({ id, perSecond }: LimitedWorker, share: number) => {
  const intervalMs = 1000 / (Math.max(MIN_PER_SECOND, perSecond) * share);
  return { id, intervalMs, burstMs: BURST_MS + BURST_REQUESTS * intervalMs };
};

/**
 * Issues permits for requests to workers with a request limit, by the generic cell rate algorithm. Answers the load of a
 * service whose workers take less than callers ask for: permits are spread evenly, a request may reserve one ahead, and
 * those who are refused return one at a time instead of together.
 */
export class PermitIssuer {
  /** Monotonic time up to which a worker's limit is used up, in ms, by worker. */
  readonly #usedUpToMs = new Map<string, number>();

  /** Monotonic time at which the next one who is refused is to return, in ms, by pool. */
  readonly #nextReturnMs = new Map<string, number>();

  issue({ pool, workers, count, maxDelayMs, share }: IssueRequest, nowMs: number): IssueResult {
    invariant(share > 0 && share <= 1, 'permit-share-is-a-part', { pool, share });
    const paced = workers.map((worker) => paceOf(worker, share));
    const delayOf = ({ id, burstMs }: ReturnType<typeof paceOf>) =>
      Math.max(0, (this.#usedUpToMs.get(id) ?? nowMs + burstMs) - burstMs - nowMs);
    const permits: IssuedPermit[] = [];
    let shortestMs = Infinity;
    while (permits.length < count) {
      const [first] = paced;
      if (first === undefined) break;
      const next = paced.reduce(
        (best, worker) => (delayOf(worker) < delayOf(best) ? worker : best),
        first,
      );
      const delayMs = delayOf(next);
      shortestMs = delayMs;
      if (delayMs > maxDelayMs) break;
      // A worker without a record may have received its full rate until now, so it starts without a burst.
      const usedUpToMs = Math.max(nowMs, this.#usedUpToMs.get(next.id) ?? nowMs + next.burstMs);
      this.#usedUpToMs.set(next.id, usedUpToMs + next.intervalMs);
      permits.push({ worker: next.id, delayMs: Math.ceil(delayMs) });
    }
    if (this.#usedUpToMs.size > MAX_TRACKED) this.sweep(nowMs);
    if (permits.length === count) return { permits, retryAfterMs: 0 };
    const perMs = paced.reduce((sum, { intervalMs }) => sum + 1 / intervalMs, 0);
    return { permits, retryAfterMs: this.#returnSlot(pool, shortestMs, 1 / perMs, nowMs) };
  }

  /** Counts requests that a worker got within the last second without permits, from a node that did not know its limit. */
  charge(worker: LimitedWorker, requests: number, nowMs: number): void {
    const { id, intervalMs, burstMs } = paceOf(worker, 1);
    const usedUpToMs = Math.max(nowMs - BURST_MS, this.#usedUpToMs.get(id) ?? -Infinity);
    this.#usedUpToMs.set(
      id,
      Math.min(usedUpToMs + requests * intervalMs, nowMs + burstMs + MAX_DEBT_MS),
    );
  }

  /** Drops workers that got no permits for a while, and pools in which nobody is to return. */
  sweep(nowMs: number): void {
    for (const [worker, usedUpToMs] of this.#usedUpToMs) {
      if (usedUpToMs <= nowMs - BURST_MS) this.#usedUpToMs.delete(worker);
    }
    for (const [pool, returnMs] of this.#nextReturnMs) {
      if (returnMs <= nowMs) this.#nextReturnMs.delete(pool);
    }
  }

  #returnSlot(pool: string, shortestMs: number, intervalMs: number, nowMs: number): number {
    const earliestMs = nowMs + Math.min(shortestMs, MAX_RETURN_MS);
    const slotMs = Math.min(
      nowMs + MAX_RETURN_MS,
      Math.max(earliestMs, this.#nextReturnMs.get(pool) ?? 0),
    );
    this.#nextReturnMs.set(pool, slotMs + Math.min(intervalMs, MAX_RETURN_MS));
    return Math.max(1, Math.ceil(slotMs - nowMs));
  }
}
