import { invariant } from '../../shared/invariants.ts';

export type AdmissionPriority = 'caller' | 'training';

export interface PoolLimits {
  /** Number of requests that this node may currently have in progress at the pool's workers. */
  readonly capacity: number;
  /** Maximum number of queued requests. */
  readonly maxQueued: number;
}

/** A request that waits in a pool's queue. */
export interface QueuedRequest {
  /** Ends the wait: rejects it with `error`, or grants a slot if there is none. */
  readonly settle: (error?: Error) => void;
}

/** Weight of the newest hold time in the moving average, which thus reflects about the last 20 requests. */
const HOLD_AVERAGE_WEIGHT = 0.05;

/** Fraction of a pool's capacity closed to training, so that a caller rarely waits for a sample to finish. */
const CALLER_RESERVE_FRACTION = 0.1;

/** Counts the requests in progress of one pool and holds its queues. */
export class AdmissionPool {
  readonly queues: Readonly<Record<AdmissionPriority, Set<QueuedRequest>>> = {
    caller: new Set(),
    training: new Set(),
  };

  #inProgress = 0;

  /** Moving average of the time that a slot is held, in ms; undefined until the first slot is returned. */
  #meanHoldMs: number | undefined;

  get inProgress(): number {
    return this.#inProgress;
  }

  get queuedCount(): number {
    return this.queues.caller.size + this.queues.training.size;
  }

  get isIdle(): boolean {
    return this.#inProgress === 0 && this.queuedCount === 0;
  }

  /** Whether the limits allow one more request of this priority in progress. */
  hasFreeSlot({ capacity }: PoolLimits, priority: AdmissionPriority): boolean {
    const reserve = priority === 'training' ? Math.floor(capacity * CALLER_RESERVE_FRACTION) : 0;
    return this.#inProgress < capacity - reserve;
  }

  /** Whether a new request must queue because no slot is free or earlier requests are already waiting for one. */
  mustQueue(limits: PoolLimits, priority: AdmissionPriority): boolean {
    const ahead = priority === 'caller' ? this.queues.caller.size : this.queuedCount;
    return ahead > 0 || !this.hasFreeSlot(limits, priority);
  }

  /** Estimated wait of a new request, in ms; 0 until a hold time is known, and while the capacity is 0. */
  expectedWaitMs({ capacity }: PoolLimits, priority: AdmissionPriority): number {
    if (this.#meanHoldMs === undefined || capacity < 1) return 0;
    const ahead = priority === 'caller' ? this.queues.caller.size : this.queuedCount;
    return ((ahead + 1) * this.#meanHoldMs) / capacity;
  }

  takeSlot(limits: PoolLimits, priority: AdmissionPriority): void {
    invariant(this.hasFreeSlot(limits, priority), 'admission-pool-bound', {
      inProgress: this.#inProgress,
      capacity: limits.capacity,
    });
    invariant(priority === 'caller' || this.queues.caller.size === 0, 'admission-callers-first', {
      waitingCallers: this.queues.caller.size,
    });
    this.#inProgress += 1;
  }

  returnSlot(heldMs: number): void {
    this.#inProgress -= 1;
    const mean = this.#meanHoldMs ?? heldMs;
    this.#meanHoldMs = mean + (heldMs - mean) * HOLD_AVERAGE_WEIGHT;
  }
}
