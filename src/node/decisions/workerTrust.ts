/** How one request to a worker went. `refused`: the worker said that it did not run the request. */
export type WorkerResult = 'answered' | 'refused' | 'failed' | 'silent';

interface TrustRecord {
  /** Weighted share of failures among the last results, 0 to 1. */
  failureShare: number;
  /** When the share was last changed, monotonic ms. */
  changedMs: number;
  /** Failures since the last answer. */
  failuresInRow: number;
  /** Until when the worker gets no requests, monotonic ms. */
  suspendedUntilMs: number;
}

/** Weight of the newest result in the share of failures; about the last seven results count. */
const SHARE_WEIGHT = 0.3;

/** Share of failures from which a worker is passed over while others are better. */
const UNTRUSTED_SHARE = 0.35;

/** Time in which the share of failures halves without further results, in ms, so that a mended worker is tried again. */
const SHARE_HALF_LIFE_MS = 2000;

/** Suspension after the first failure in a row, in ms; it doubles with each further one. */
const FIRST_SUSPENSION_MS = 200;

/** Longest suspension, in ms: a worker that came back is found within it. */
const MAX_SUSPENSION_MS = 3000;

/** Suspension after a refusal, in ms: a full worker frees a slot within a request's usual time. */
const REFUSED_SUSPENSION_MS = 30;

const shareAt = ({ failureShare, changedMs }: TrustRecord, nowMs: number): number =>
  failureShare * 0.5 ** ((nowMs - changedMs) / SHARE_HALF_LIFE_MS);

/**
 * Trust in workers by the results of this node's own requests. A health endpoint is not asked: it may say that a worker
 * is well which fails requests, and the other way round.
 */
export class WorkerTrust {
  readonly #records = new Map<string, TrustRecord>();

  /** Takes in the result of a request. */
  record(worker: string, result: WorkerResult, nowMs: number): void {
    const record = this.#records.get(worker) ?? {
      failureShare: 0,
      changedMs: nowMs,
      failuresInRow: 0,
      suspendedUntilMs: -Infinity,
    };
    record.failureShare = shareAt(record, nowMs);
    record.changedMs = nowMs;
    if (result === 'refused') {
      record.suspendedUntilMs = Math.max(record.suspendedUntilMs, nowMs + REFUSED_SUSPENSION_MS);
    } else if (result === 'answered') {
      record.failureShare *= 1 - SHARE_WEIGHT;
      record.failuresInRow = 0;
      record.suspendedUntilMs = -Infinity;
    } else {
      record.failureShare += SHARE_WEIGHT * (1 - record.failureShare);
      // A silent worker costs each request its whole wait, so it counts as several failures.
      record.failuresInRow += result === 'silent' ? 3 : 1;
      const suspensionMs = FIRST_SUSPENSION_MS * 2 ** (record.failuresInRow - 1);
      record.suspendedUntilMs = nowMs + Math.min(MAX_SUSPENSION_MS, suspensionMs);
    }
    this.#records.set(worker, record);
  }

  /** Whether the worker gets no requests now while others are there. */
  isSuspended(worker: string, nowMs: number): boolean {
    return (this.#records.get(worker)?.suspendedUntilMs ?? -Infinity) > nowMs;
  }

  /** Whether so many of the worker's last requests failed that others are preferred. */
  isUntrusted(worker: string, nowMs: number): boolean {
    const record = this.#records.get(worker);
    return record !== undefined && shareAt(record, nowMs) >= UNTRUSTED_SHARE;
  }

  /** The best of the given workers: trusted ones, else those that are not suspended, else all. */
  usable<T extends { readonly id: string }>(workers: readonly T[], nowMs: number): readonly T[] {
    const awake = workers.filter(({ id }) => !this.isSuspended(id, nowMs));
    const trusted = awake.filter(({ id }) => !this.isUntrusted(id, nowMs));
    if (trusted.length > 0) return trusted;
    return awake.length > 0 ? awake : workers;
  }

  /** Forgets workers that are no longer registered. */
  retain(isKnown: (worker: string) => boolean): void {
    for (const worker of this.#records.keys()) {
      if (!isKnown(worker)) this.#records.delete(worker);
    }
  }
}
