/** Outcome of a request to a worker. `refused`: the worker replied that it did not run the request. */
export type WorkerResult = 'answered' | 'refused' | 'failed' | 'silent';

interface HealthRecord {
  /** Exponentially weighted failure rate of the last requests, 0 to 1. */
  failureRate: number;
  /** When the failure rate was last updated, monotonic ms. */
  changedMs: number;
  /** Weighted number of failures since the last answered request. */
  consecutiveFailures: number;
  /** When the suspension of the worker ends, monotonic ms. */
  suspendedUntilMs: number;
}

/** Weight of the newest result in the failure rate; effectively covers about the last seven results. */
const NEWEST_RESULT_WEIGHT = 0.3;

/** Failure rate from which a worker is avoided while better ones are available. */
const AVOIDED_FAILURE_RATE = 0.35;

/** Half-life of the failure rate without further results, in ms, so that a recovered worker is tried again. */
const FAILURE_RATE_HALF_LIFE_MS = 2000;

/** Suspension after the first failure, in ms. Doubles with each further consecutive failure. */
const FIRST_SUSPENSION_MS = 200;

/** Maximum suspension, in ms: a recovered worker is tried again within this time. */
const MAX_SUSPENSION_MS = 3000;

/** Suspension after a refusal, in ms. Short, because a full worker frees a slot within the usual time of a request. */
const REFUSAL_SUSPENSION_MS = 30;

const failureRateAt = ({ failureRate, changedMs }: HealthRecord, nowMs: number): number =>
  failureRate * 0.5 ** ((nowMs - changedMs) / FAILURE_RATE_HALF_LIFE_MS);

/**
 * Passive health checks: suspends or avoids workers by the results of this node's own requests. Health endpoints are
 * not queried, because they may report a worker as healthy that fails requests, and vice versa.
 */
export class PassiveHealthCheck {
  readonly #records = new Map<string, HealthRecord>();

  /** Records the result of a request. */
  record(worker: string, result: WorkerResult, nowMs: number): void {
    const record = this.#records.get(worker) ?? {
      failureRate: 0,
      changedMs: nowMs,
      consecutiveFailures: 0,
      suspendedUntilMs: -Infinity,
    };
    record.failureRate = failureRateAt(record, nowMs);
    record.changedMs = nowMs;
    if (result === 'refused') {
      record.suspendedUntilMs = Math.max(record.suspendedUntilMs, nowMs + REFUSAL_SUSPENSION_MS);
    } else if (result === 'answered') {
      record.failureRate *= 1 - NEWEST_RESULT_WEIGHT;
      record.consecutiveFailures = 0;
      record.suspendedUntilMs = -Infinity;
    } else {
      record.failureRate += NEWEST_RESULT_WEIGHT * (1 - record.failureRate);
      // A timeout costs the request its whole wait, so it counts as several failures.
      record.consecutiveFailures += result === 'silent' ? 3 : 1;
      const suspensionMs = FIRST_SUSPENSION_MS * 2 ** (record.consecutiveFailures - 1);
      record.suspendedUntilMs = nowMs + Math.min(MAX_SUSPENSION_MS, suspensionMs);
    }
    this.#records.set(worker, record);
  }

  /** Whether the worker is suspended: it gets no requests while others are available. */
  isSuspended(worker: string, nowMs: number): boolean {
    return (this.#records.get(worker)?.suspendedUntilMs ?? -Infinity) > nowMs;
  }

  /** Whether the worker's failure rate is so high that others are preferred. */
  isAvoided(worker: string, nowMs: number): boolean {
    const record = this.#records.get(worker);
    return record !== undefined && failureRateAt(record, nowMs) >= AVOIDED_FAILURE_RATE;
  }

  /** Returns the workers that are neither suspended nor avoided; else those that are not suspended; else all. */
  selectUsable<T extends { readonly id: string }>(
    workers: readonly T[],
    nowMs: number,
  ): readonly T[] {
    const notSuspended = workers.filter(({ id }) => !this.isSuspended(id, nowMs));
    const preferred = notSuspended.filter(({ id }) => !this.isAvoided(id, nowMs));
    if (preferred.length > 0) return preferred;
    return notSuspended.length > 0 ? notSuspended : workers;
  }

  /** Removes workers that `isKnown` rejects. */
  retain(isKnown: (worker: string) => boolean): void {
    for (const worker of this.#records.keys()) {
      if (!isKnown(worker)) this.#records.delete(worker);
    }
  }
}
