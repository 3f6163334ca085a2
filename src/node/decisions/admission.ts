import type { Clock } from '../../shared/clock.ts';
import { BaseError } from '../../shared/errors.ts';
import { invariant } from '../../shared/invariants.ts';
import type { Random } from '../../shared/random.ts';
import {
  AdmissionPool,
  type AdmissionPriority,
  type PoolLimits,
  type QueuedRequest,
} from './admissionPool.ts';
import { type CallerLimit, CallerLimits } from './callerLimits.ts';

/** A request was not admitted and has not run. */
export const AdmissionError = BaseError.subclass('AdmissionError', {
  props: { code: 'overloaded', retryAfterMs: 1000 },
});

export interface AdmissionRequest {
  readonly pool: string;
  readonly priority: AdmissionPriority;
  /** Maximum time in the queue, in ms. */
  readonly maxWaitMs: number;
  /** Caller whose limits apply. If absent, no per-caller limits apply. */
  readonly caller?: { readonly key: string; readonly limit: CallerLimit };
  /** Aborts the wait in the queue. */
  readonly signal?: AbortSignal;
}

export interface PoolCounts {
  readonly inProgress: number;
  readonly queued: Readonly<Record<AdmissionPriority, number>>;
}

export interface AdmissionOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly limitsOf: (pool: string) => PoolLimits;
  /** Maximum number of requests in progress or queued on this node, over all pools. */
  readonly maxConcurrent: number;
  /** Called whenever the number of a pool's requests in progress or queued changes. */
  readonly onChange?: (pool: string, counts: PoolCounts) => void;
}

/** Permits one request in progress. Disposing returns the slot; a second disposal has no effect. */
export type AdmissionSlot = Disposable;

const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 30_000;

/** Maximum number of pools in the tables. Before state for further pools is kept, that of idle pools is dropped. */
const MAX_POOLS = 1000;

/**
 * Decides whether a request runs, waits in a queue or is refused. Caller requests take precedence over training
 * requests. Queues are bounded in length and waiting time, and a request that is expected to wait too long is refused
 * immediately, so that memory use stays bounded under any load.
 */
export class Admission {
  readonly #options: AdmissionOptions;

  readonly #callerLimits: CallerLimits;

  readonly #pools = new Map<string, AdmissionPool>();

  #total = 0;

  constructor(options: AdmissionOptions) {
    this.#options = options;
    this.#callerLimits = new CallerLimits(options.clock);
  }

  /** Number of requests in progress or queued, over all pools. */
  get total(): number {
    return this.#total;
  }

  counts(poolName: string): PoolCounts {
    const pool = this.#pools.get(poolName);
    return {
      inProgress: pool?.inProgress ?? 0,
      queued: {
        caller: pool?.queues.caller.size ?? 0,
        training: pool?.queues.training.size ?? 0,
      },
    };
  }

  /**
   * Waits for a slot.
   *
   * @throws AdmissionError when the request is refused
   */
  async admit(request: AdmissionRequest): Promise<AdmissionSlot> {
    this.#enterCaller(request);
    let slot: AdmissionSlot | undefined;
    try {
      slot = await this.#enterPool(request);
    } finally {
      if (slot === undefined) this.#leaveCaller(request, false);
    }
    return slot;
  }

  /** Assigns free slots to queued requests, for example after a load report has changed the pool's capacity. */
  assignFreeSlots(poolName: string): void {
    const pool = this.#pools.get(poolName);
    if (pool === undefined) return;
    const limits = this.#options.limitsOf(poolName);
    for (;;) {
      const priority = pool.queues.caller.size > 0 ? 'caller' : 'training';
      const [next] = pool.queues[priority];
      if (next === undefined || !pool.hasFreeSlot(limits, priority)) break;
      // Taken here rather than when the queued request resumes, so that no later request can take the slot in between.
      next.settle();
      pool.takeSlot(limits, priority);
    }
  }

  #enterCaller({ caller }: AdmissionRequest): void {
    if (caller === undefined) return;
    const result = this.#callerLimits.enter(caller.key, caller.limit);
    if (result.status === 'entered') return;
    throw new AdmissionError(`caller limit exceeded (${result.code})`, {
      props: { code: result.code, retryAfterMs: Math.ceil(result.retryAfterMs) },
    });
  }

  #leaveCaller({ caller }: AdmissionRequest, wasAdmitted: boolean): void {
    if (caller !== undefined) this.#callerLimits.leave(caller.key, wasAdmitted);
  }

  async #enterPool(request: AdmissionRequest): Promise<AdmissionSlot> {
    const { priority } = request;
    const pool = this.#poolOf(request.pool);
    const limits = this.#options.limitsOf(request.pool);
    const mustQueue = pool.mustQueue(limits, priority);
    if (mustQueue || this.#total >= this.#options.maxConcurrent) {
      this.#makeRoom(pool, limits, request);
    }
    this.#total += 1;
    invariant(this.#total <= this.#options.maxConcurrent, 'admission-node-bound', {
      total: this.#total,
    });
    if (mustQueue) await this.#wait(pool, limits, request);
    else pool.takeSlot(limits, priority);
    this.#notifyChange(request.pool);
    return this.#slot(pool, request);
  }

  #poolOf(poolName: string): AdmissionPool {
    const known = this.#pools.get(poolName);
    if (known !== undefined) return known;
    if (this.#pools.size >= MAX_POOLS) {
      for (const [name, pool] of this.#pools) if (pool.isIdle) this.#pools.delete(name);
    }
    const pool = new AdmissionPool();
    this.#pools.set(poolName, pool);
    return pool;
  }

  /**
   * Refuses the request if its expected wait is too long or a bound is reached. At a bound, a caller request instead
   * evicts the newest queued training request, if there is one.
   */
  #makeRoom(pool: AdmissionPool, limits: PoolLimits, request: AdmissionRequest): void {
    const { priority, maxWaitMs } = request;
    const expectedMs = pool.expectedWaitMs(limits, priority);
    if (expectedMs > maxWaitMs) {
      throw this.#overloaded('the expected wait for a worker exceeds the maximum wait', expectedMs);
    }
    const isFull =
      pool.queuedCount >= limits.maxQueued || this.#total >= this.#options.maxConcurrent;
    if (!isFull) return;
    const evictedRequest = priority === 'caller' ? [...pool.queues.training].at(-1) : undefined;
    if (evictedRequest === undefined) throw this.#overloaded('the queue is full', expectedMs);
    evictedRequest.settle(
      this.#overloaded('evicted from the queue by a caller request', expectedMs),
    );
  }

  #overloaded(reason: string, expectedMs: number) {
    const boundedMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, expectedMs));
    return new AdmissionError(reason, {
      // Adds jitter, so that refused callers do not all retry at the same time.
      props: { retryAfterMs: Math.round(boundedMs * (0.75 + this.#options.random() / 2)) },
    });
  }

  #wait(pool: AdmissionPool, limits: PoolLimits, request: AdmissionRequest): Promise<void> {
    const { priority, maxWaitMs, signal } = request;
    const queue = pool.queues[priority];
    return new Promise<void>((resolve, reject) => {
      const onAbort = () =>
        // eslint-disable-next-line @typescript-eslint/no-use-before-define
        queuedRequest.settle(
          new AdmissionError('the caller cancelled the request', {
            props: { code: 'caller-gone' },
          }),
        );
      const timer = this.#options.clock.schedule(maxWaitMs, () =>
        // eslint-disable-next-line @typescript-eslint/no-use-before-define
        queuedRequest.settle(
          this.#overloaded('no worker became available within the maximum wait', maxWaitMs),
        ),
      );
      const queuedRequest: QueuedRequest = {
        settle: (error) => {
          if (!queue.delete(queuedRequest)) return;
          timer[Symbol.dispose]();
          signal?.removeEventListener('abort', onAbort);
          if (error === undefined) {
            resolve();
            return;
          }
          this.#total -= 1;
          this.#notifyChange(request.pool);
          reject(error);
        },
      };
      queue.add(queuedRequest);
      invariant(pool.queuedCount <= limits.maxQueued, 'admission-queue-bound', {
        waiting: pool.queuedCount,
        maxQueued: limits.maxQueued,
      });
      if (signal?.aborted) onAbort();
      else signal?.addEventListener('abort', onAbort, { once: true });
      this.#notifyChange(request.pool);
    });
  }

  #slot(pool: AdmissionPool, request: AdmissionRequest): AdmissionSlot {
    const { clock } = this.#options;
    const startMs = clock.monotonicMs();
    let returned = false;
    return {
      [Symbol.dispose]: () => {
        if (returned) return;
        returned = true;
        this.#leaveCaller(request, true);
        this.#total -= 1;
        pool.returnSlot(clock.monotonicMs() - startMs);
        this.assignFreeSlots(request.pool);
        this.#notifyChange(request.pool);
      },
    };
  }

  #notifyChange(poolName: string): void {
    this.#options.onChange?.(poolName, this.counts(poolName));
  }
}
