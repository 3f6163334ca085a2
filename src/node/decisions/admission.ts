import type { Clock } from '../../shared/clock.ts';
import { BaseError } from '../../shared/errors.ts';
import { invariant } from '../../shared/invariants.ts';
import type { Random } from '../../shared/random.ts';
import {
  AdmissionPool,
  type AdmissionPriority,
  type PoolLimits,
  type Waiter,
} from './admissionPool.ts';
import { type CallerLimit, CallerLimits } from './callerLimits.ts';

/** A request was not admitted; it has not run. */
export const AdmissionError = BaseError.subclass('AdmissionError', {
  props: { code: 'overloaded', retryAfterMs: 1000 },
});

export interface AdmissionRequest {
  readonly pool: string;
  readonly priority: AdmissionPriority;
  /** Longest time in the queue, in ms. */
  readonly maxWaitMs: number;
  /** Caller whose own limits apply; absent: none apply. */
  readonly caller?: { readonly key: string; readonly limit: CallerLimit };
  /** Ends the wait in the queue. */
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
  /** Requests of all pools in progress or waiting on this node. */
  readonly maxConcurrent: number;
  /** Told whenever the number of a pool's requests in progress or waiting changes. */
  readonly onChange?: (pool: string, counts: PoolCounts) => void;
}

/** The right to have one request in progress. Disposing returns it; a second disposal does nothing. */
export type AdmissionSlot = Disposable;

const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 30_000;

/** Tables hold at most 1,000 pools; beyond that the states of idle pools are dropped. */
const MAX_POOLS = 1000;

/**
 * Decides which requests run, wait or are refused. Callers go before training; queues are bounded in count and time;
 * what would wait too long is refused at once, so that memory stays flat however much is offered.
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

  /** Requests in progress or waiting, over all pools. */
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

  /** Gives waiting requests the slots that have become free, for example after a new load report. */
  poolChanged(poolName: string): void {
    const pool = this.#pools.get(poolName);
    if (pool === undefined) return;
    const limits = this.#options.limitsOf(poolName);
    for (;;) {
      const priority = pool.queues.caller.size > 0 ? 'caller' : 'training';
      const [next] = pool.queues[priority];
      if (next === undefined || !pool.hasRoom(limits, priority)) break;
      // Taken here and not by the woken request, so that no later request takes the slot in between.
      next.settle();
      pool.takeSlot(limits, priority);
    }
  }

  #enterCaller({ caller }: AdmissionRequest): void {
    if (caller === undefined) return;
    const result = this.#callerLimits.enter(caller.key, caller.limit);
    if (result.status === 'entered') return;
    throw new AdmissionError(`the caller is over its limit (${result.code})`, {
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
    const mustWait = pool.mustWait(limits, priority);
    if (mustWait || this.#total >= this.#options.maxConcurrent) {
      this.#makeRoom(pool, limits, request);
    }
    this.#total += 1;
    invariant(this.#total <= this.#options.maxConcurrent, 'admission-node-bound', {
      total: this.#total,
    });
    if (mustWait) await this.#wait(pool, limits, request);
    else pool.takeSlot(limits, priority);
    this.#changed(request.pool);
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

  /** At a bound, refuses the request, or a waiting training request in favour of a caller's. */
  #makeRoom(pool: AdmissionPool, limits: PoolLimits, request: AdmissionRequest): void {
    const { priority, maxWaitMs } = request;
    const expectedMs = pool.expectedWaitMs(limits, priority);
    if (expectedMs > maxWaitMs) {
      throw this.#overloaded('the wait for a worker would be too long', expectedMs);
    }
    const isFull = pool.waiting >= limits.maxQueued || this.#total >= this.#options.maxConcurrent;
    if (!isFull) return;
    const evicted = priority === 'caller' ? [...pool.queues.training].at(-1) : undefined;
    if (evicted === undefined) throw this.#overloaded('the queue is full', expectedMs);
    evicted.settle(this.#overloaded('a caller took the place in the queue', expectedMs));
  }

  #overloaded(reason: string, expectedMs: number) {
    const boundedMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, expectedMs));
    return new AdmissionError(reason, {
      // Spread out, so that refused callers don't come back together.
      props: { retryAfterMs: Math.round(boundedMs * (0.75 + this.#options.random() / 2)) },
    });
  }

  #wait(pool: AdmissionPool, limits: PoolLimits, request: AdmissionRequest): Promise<void> {
    const { priority, maxWaitMs, signal } = request;
    const queue = pool.queues[priority];
    return new Promise<void>((resolve, reject) => {
      const onAbort = () =>
        // eslint-disable-next-line @typescript-eslint/no-use-before-define
        waiter.settle(new AdmissionError('the caller gave up', { props: { code: 'caller-gone' } }));
      const timer = this.#options.clock.schedule(maxWaitMs, () =>
        // eslint-disable-next-line @typescript-eslint/no-use-before-define
        waiter.settle(this.#overloaded('no worker became free in time', maxWaitMs)),
      );
      const waiter: Waiter = {
        settle: (error) => {
          if (!queue.delete(waiter)) return;
          timer[Symbol.dispose]();
          signal?.removeEventListener('abort', onAbort);
          if (error === undefined) {
            resolve();
            return;
          }
          this.#total -= 1;
          this.#changed(request.pool);
          reject(error);
        },
      };
      queue.add(waiter);
      invariant(pool.waiting <= limits.maxQueued, 'admission-queue-bound', {
        waiting: pool.waiting,
        maxQueued: limits.maxQueued,
      });
      if (signal?.aborted) onAbort();
      else signal?.addEventListener('abort', onAbort, { once: true });
      this.#changed(request.pool);
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
        this.poolChanged(request.pool);
        this.#changed(request.pool);
      },
    };
  }

  #changed(poolName: string): void {
    this.#options.onChange?.(poolName, this.counts(poolName));
  }
}
