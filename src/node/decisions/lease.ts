import { type Clock, Stopwatch } from '../../shared/clock.ts';
import { invariant } from '../../shared/invariants.ts';
import type { PlatformObject, WriteResult } from '../platform/platformClient.ts';

/** Value of the objects `leases/job/<job>` and `leases/pool/<pool>`. */
export interface LeaseValue {
  /** Name of the holding node; empty when the lease was released and may be acquired at once. */
  readonly holder: string;
  readonly incarnation: string;
  /** Peer address of the holder; requests can be forwarded to it without consulting the membership view. */
  readonly address: string;
  /** Fencing token; it grows by one with each acquisition. */
  readonly fencing: number;
  readonly renewals: number;
}

export interface LeaseTiming {
  readonly ttlMs: number;
  readonly renewIntervalMs: number;
  /** The holder stops acting as such this long before the TTL ends. */
  readonly marginMs: number;
}

export type LeaseStep =
  | { readonly kind: 'wait'; readonly delayMs: number }
  /** Read the object: it has not been read yet, or the result of a write is unknown. */
  | { readonly kind: 'read' }
  | {
      readonly kind: 'write';
      readonly value: LeaseValue;
      readonly ifVersion: number;
      readonly operationId: string;
    };

export type LeaseWrite = Extract<LeaseStep, { kind: 'write' }>;

/**
 * Chooses the moment from which a holder counts its TTL.
 *
 * @param sent - stopwatch started when the successful write was sent
 * @param received - stopwatch started when its response arrived
 */
export type TtlStart = (sent: Stopwatch, received: Stopwatch) => Stopwatch;

/**
 * Counts the TTL from the sending of the write. A contender counts from when it observes the write, which is never
 * before the write was sent, so the holder's term ends first.
 */
export const ttlFromSendTime: TtlStart = (sent) => sent;

export interface LeaseStateOptions {
  readonly clock: Clock;
  readonly timing: LeaseTiming;
  readonly self: Pick<LeaseValue, 'holder' | 'incarnation' | 'address'>;
  readonly newOperationId: () => string;
  /** Extra time in ms that this node waits before acquiring, so that a preferred node can contend first. */
  readonly extraWaitMs: () => number;
  /** @default `ttlFromSendTime` */
  readonly ttlStart?: TtlStart;
}

/** Maximum number of sent writes that are matched against the operation id of the object; older ones are dropped. */
const MAX_SENT_WRITES = 16;

/** Delay between attempts while the platform returns no usable response, in ms. */
const RETRY_DELAY_MS = 500;

interface ObservedLease {
  readonly version: number;
  readonly value: LeaseValue | undefined;
  /** Monotonic time at which this version was first observed, in ms. */
  readonly sinceMs: number;
}

/** One node's view of one lease: decides when to acquire it, when to renew it and when to stop acting as its holder. */
export class LeaseState {
  readonly #options: LeaseStateOptions;

  readonly #sentAt = new Map<string, Stopwatch>();

  #observed: ObservedLease | undefined;

  #held: { readonly since: Stopwatch; readonly fencing: number } | undefined;

  #lastAttempt: Stopwatch | undefined;

  #resultUnknown = false;

  /** The last attempt has no result yet; the next one waits for `RETRY_DELAY_MS`. */
  #attemptFailed = false;

  #released = false;

  #largestFencing = 0;

  constructor(options: LeaseStateOptions) {
    this.#options = options;
  }

  /** Whether this node may act as the holder now. Must be checked after every await and directly before every send. */
  isHeld(): boolean {
    const { ttlMs, marginMs } = this.#options.timing;
    return (
      !this.#released && this.#held !== undefined && this.#held.since.elapsedMs() < ttlMs - marginMs
    );
  }

  /** Remaining time in ms for which this node may act as the holder; 0 when it may not. */
  remainingMs(): number {
    const { ttlMs, marginMs } = this.#options.timing;
    return this.isHeld() && this.#held ? ttlMs - marginMs - this.#held.since.elapsedMs() : 0;
  }

  /** Fencing token of this node's current term, also after the TTL has run out; 0 without a term. */
  get fencing(): number {
    return this.#held?.fencing ?? 0;
  }

  /** The lease as last observed; undefined when it was never acquired. */
  get current(): LeaseValue | undefined {
    return this.#observed?.value;
  }

  /** Returns the next action. */
  next(): LeaseStep {
    if (this.isReleaseComplete) return { kind: 'wait', delayMs: Infinity };
    const sinceAttemptMs = this.#lastAttempt?.elapsedMs() ?? Infinity;
    if (this.#attemptFailed && sinceAttemptMs < RETRY_DELAY_MS) {
      return { kind: 'wait', delayMs: RETRY_DELAY_MS - sinceAttemptMs };
    }
    if (this.#resultUnknown || this.#observed === undefined) return { kind: 'read' };
    if (this.#released) return this.#releaseStep(this.#observed.value);
    return this.#held ? this.#renewalStep() : this.#acquisitionStep(this.#observed);
  }

  /** Records that a write or a read is about to be sent. */
  recordSend(step: LeaseStep): void {
    this.#lastAttempt = new Stopwatch(this.#options.clock);
    this.#attemptFailed = true;
    if (step.kind !== 'write') return;
    const [oldest] = this.#sentAt.keys();
    if (this.#sentAt.size >= MAX_SENT_WRITES && oldest !== undefined) this.#sentAt.delete(oldest);
    this.#sentAt.set(step.operationId, this.#lastAttempt);
  }

  /** Records the response to a write. */
  recordWriteResult(write: LeaseWrite, result: WriteResult): void {
    this.#attemptFailed = result.status === 'unknown' || result.status === 'unavailable';
    if (result.status === 'written') {
      this.#resultUnknown = false;
      this.#applyObject({ version: result.version, value: write.value }, write.operationId);
    } else if (result.status !== 'unavailable') {
      this.#resultUnknown = true;
    }
  }

  /** Records the object as read from the platform; undefined when it does not exist. */
  observe(object: Pick<PlatformObject, 'version' | 'operationId' | 'value'> | undefined): void {
    const version = object?.version ?? 0;
    if (this.#observed && version < this.#observed.version) return;
    if (this.#resultUnknown) this.#attemptFailed = false;
    this.#resultUnknown = false;
    if (this.#observed?.version === version) return;
    this.#applyObject(
      { version, value: object?.value as LeaseValue | undefined },
      object?.operationId ?? '',
    );
  }

  /** Stops acting as the holder immediately and permanently; `next` then writes the release. */
  release(): void {
    this.#released = true;
  }

  get released(): boolean {
    return this.#released;
  }

  /** Whether the lease was released and this node has nothing left to write. */
  get isReleaseComplete(): boolean {
    return this.#released && !this.#resultUnknown && !this.#isHeldBySelf();
  }

  #applyObject(
    object: { version: number; value: LeaseValue | undefined },
    operationId: string,
  ): void {
    const { clock, ttlStart = ttlFromSendTime } = this.#options;
    this.#observed = { ...object, sinceMs: clock.monotonicMs() };
    const fencing = object.value?.fencing ?? 0;
    invariant(fencing >= this.#largestFencing, 'lease-fencing-grows', {
      fencing,
      seen: this.#largestFencing,
    });
    this.#largestFencing = fencing;
    if (!this.#isHeldBySelf()) {
      this.#held = undefined;
      return;
    }
    const sent = this.#sentAt.get(operationId);
    if (sent) this.#held = { since: ttlStart(sent, new Stopwatch(clock)), fencing };
    else if (this.#held?.fencing !== fencing) this.#held = undefined;
    this.#sentAt.clear();
  }

  #isHeldBySelf(): boolean {
    const { holder, incarnation } = this.#options.self;
    const value = this.#observed?.value;
    return value?.holder === holder && value.incarnation === incarnation;
  }

  #renewalStep(): LeaseStep {
    const value = this.#observed?.value;
    const { renewIntervalMs } = this.#options.timing;
    const sinceRenewalMs = this.#held?.since.elapsedMs() ?? Infinity;
    if (value === undefined) return { kind: 'read' };
    const waitMs = renewIntervalMs - sinceRenewalMs;
    if (waitMs > 0) return { kind: 'wait', delayMs: waitMs };
    return this.#write({ ...value, renewals: value.renewals + 1 });
  }

  #acquisitionStep(observed: ObservedLease): LeaseStep {
    const { clock, timing, self, extraWaitMs } = this.#options;
    const free =
      observed.value === undefined || observed.value.holder === '' || this.#isHeldBySelf();
    const waitMs = (free ? 0 : timing.ttlMs) + extraWaitMs();
    const remainingMs = waitMs - (clock.monotonicMs() - observed.sinceMs);
    if (remainingMs > 0) return { kind: 'wait', delayMs: remainingMs };
    return this.#write({ ...self, fencing: (observed.value?.fencing ?? 0) + 1, renewals: 0 });
  }

  #releaseStep(value: LeaseValue | undefined): LeaseStep {
    if (value === undefined) return { kind: 'read' };
    return this.#write({ ...value, holder: '', incarnation: '', address: '' });
  }

  #write(value: LeaseValue): LeaseWrite {
    return {
      kind: 'write',
      value,
      ifVersion: this.#observed?.version ?? 0,
      operationId: this.#options.newOperationId(),
    };
  }
}
