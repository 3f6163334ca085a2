import { invariant } from '../../shared/invariants.ts';

export type AdmissionPriority = 'caller' | 'training';

export interface PoolLimits {
  /** Requests that this node may have in progress at the pool's workers now. */
  readonly capacity: number;
  /** Requests that may wait. */
  readonly maxQueued: number;
}

/** A request in a pool's queue. */
export interface Waiter {
  /** Ends the wait: with a slot, or with the error. */
  readonly settle: (error?: Error) => void;
}

/** Weight of the newest hold time in the moving average; the last 20 or so requests decide. */
const HOLD_AVERAGE_WEIGHT = 0.05;

/** Part of a pool that training leaves free, so that a caller seldom waits for a sample to end. */
const CALLER_RESERVE = 0.1;

/** Requests of one pool in progress and waiting. */
export class AdmissionPool {
  readonly queues: Readonly<Record<AdmissionPriority, Set<Waiter>>> = {
    caller: new Set(),
    training: new Set(),
  };

  #inProgress = 0;

  /** Moving average of how long a slot is held, in ms; undefined until the first one is returned. */
  #meanHoldMs: number | undefined;

  get inProgress(): number {
    return this.#inProgress;
  }

  get waiting(): number {
    return this.queues.caller.size + this.queues.training.size;
  }

  get isIdle(): boolean {
    return this.#inProgress === 0 && this.waiting === 0;
  }

  /** Whether the limits leave a slot for a request of this priority. */
  hasRoom({ capacity }: PoolLimits, priority: AdmissionPriority): boolean {
    const reserve = priority === 'training' ? Math.floor(capacity * CALLER_RESERVE) : 0;
    return this.#inProgress < capacity - reserve;
  }

  /** Whether a new request must queue, because there is no slot or because others wait for it already. */
  mustWait(limits: PoolLimits, priority: AdmissionPriority): boolean {
    const ahead = priority === 'caller' ? this.queues.caller.size : this.waiting;
    return ahead > 0 || !this.hasRoom(limits, priority);
  }

  /** Estimate for a new request, in ms; 0 when nothing is known yet. */
  expectedWaitMs({ capacity }: PoolLimits, priority: AdmissionPriority): number {
    if (this.#meanHoldMs === undefined || capacity < 1) return 0;
    const ahead = priority === 'caller' ? this.queues.caller.size : this.waiting;
    return ((ahead + 1) * this.#meanHoldMs) / capacity;
  }

  takeSlot(limits: PoolLimits, priority: AdmissionPriority): void {
    invariant(this.hasRoom(limits, priority), 'admission-pool-bound', {
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
