import { type Clock, Stopwatch } from '../../shared/clock.ts';
import { invariant } from '../../shared/invariants.ts';
import type { PlatformObject, WriteResult } from '../platform/platformClient.ts';

/** Value of the objects `leases/job/<job>` and `leases/pool/<pool>`. */
export interface LeaseValue {
  /** Name of the holding node; empty: handed over, free to take. */
  readonly holder: string;
  readonly incarnation: string;
  /** Peer address of the holder, so that requests can be forwarded without the membership view. */
  readonly address: string;
  readonly fencing: number;
  readonly renewals: number;
}

export interface LeaseTiming {
  readonly ttlMs: number;
  readonly renewIntervalMs: number;
  /** The holder stops acting this long before the ttl ends. */
  readonly marginMs: number;
}

export type LeaseStep =
  | { readonly kind: 'wait'; readonly delayMs: number }
  /** Read the object: the result of a write is not known. */
  | { readonly kind: 'read' }
  | {
      readonly kind: 'write';
      readonly value: LeaseValue;
      readonly ifVersion: number;
      readonly operationId: string;
    };

export type LeaseWrite = Extract<LeaseStep, { kind: 'write' }>;

/**
 * The clock reading from which a holder counts its ttl.
 *
 * @param sent - started when the successful renewal was sent
 * @param answered - started when its answer arrived
 */
export type HoldStart = (sent: Stopwatch, answered: Stopwatch) => Stopwatch;

/** A contender's ttl starts at the earliest when the write took effect, which is never before it was sent. */
export const holdFromSending: HoldStart = (sent) => sent;

export interface LeaseStateOptions {
  readonly clock: Clock;
  readonly timing: LeaseTiming;
  readonly self: Pick<LeaseValue, 'holder' | 'incarnation' | 'address'>;
  readonly newOperationId: () => string;
  /** Time in ms that this node waits beyond the ttl, because another node should contend first. */
  readonly extraWaitMs: () => number;
  /** @default `holdFromSending` */
  readonly holdStart?: HoldStart;
}

/** Operations whose result may still become known by reading back; older ones are forgotten. */
const MAX_KNOWN_OPERATIONS = 16;

/** Between attempts when the platform gives no usable answer, in ms. */
const RETRY_DELAY_MS = 500;

interface Seen {
  readonly version: number;
  readonly value: LeaseValue | undefined;
  /** Monotonic time at which this version was first seen, in ms. */
  readonly sinceMs: number;
}

/** One node's view of one lease: decides when to take it over, renew it and stop acting as its holder. */
export class LeaseState {
  readonly #options: LeaseStateOptions;

  readonly #sent = new Map<string, Stopwatch>();

  #seen: Seen | undefined;

  #held: { readonly since: Stopwatch; readonly fencing: number } | undefined;

  #lastAttempt: Stopwatch | undefined;

  #unresolved = false;

  /** The last attempt has given no result so far; the next one waits a while. */
  #attemptFailed = false;

  #released = false;

  #largestFencing = 0;

  constructor(options: LeaseStateOptions) {
    this.#options = options;
  }

  /** Whether this node may act as the holder now. Check after every wait and directly before every send. */
  isHeld(): boolean {
    const { ttlMs, marginMs } = this.#options.timing;
    return (
      !this.#released && this.#held !== undefined && this.#held.since.elapsedMs() < ttlMs - marginMs
    );
  }

  /** Time in ms for which this node may still act as the holder; 0 when it may not. */
  remainingMs(): number {
    const { ttlMs, marginMs } = this.#options.timing;
    return this.isHeld() && this.#held ? ttlMs - marginMs - this.#held.since.elapsedMs() : 0;
  }

  /** Fencing number under which this node holds or last held the lease; 0: it does not. */
  get fencing(): number {
    return this.#held?.fencing ?? 0;
  }

  /** The lease as last seen; undefined when nobody has taken it yet. */
  get current(): LeaseValue | undefined {
    return this.#seen?.value;
  }

  /** What to do next. */
  next(): LeaseStep {
    if (this.givenAway) return { kind: 'wait', delayMs: Infinity };
    const sinceAttemptMs = this.#lastAttempt?.elapsedMs() ?? Infinity;
    if (this.#attemptFailed && sinceAttemptMs < RETRY_DELAY_MS) {
      return { kind: 'wait', delayMs: RETRY_DELAY_MS - sinceAttemptMs };
    }
    if (this.#unresolved || this.#seen === undefined) return { kind: 'read' };
    if (this.#released) return this.#stepOfRelease(this.#seen.value);
    return this.#held ? this.#stepOfHolder() : this.#stepOfContender(this.#seen);
  }

  /** Records that a write or a read is about to be sent. */
  sending(step: LeaseStep): void {
    this.#lastAttempt = new Stopwatch(this.#options.clock);
    this.#attemptFailed = true;
    if (step.kind !== 'write') return;
    const [oldest] = this.#sent.keys();
    if (this.#sent.size >= MAX_KNOWN_OPERATIONS && oldest !== undefined) this.#sent.delete(oldest);
    this.#sent.set(step.operationId, this.#lastAttempt);
  }

  /** Records the answer to a write. */
  answered(write: LeaseWrite, result: WriteResult): void {
    this.#attemptFailed = result.status === 'unknown' || result.status === 'unavailable';
    if (result.status === 'written') {
      this.#unresolved = false;
      this.#adopt({ version: result.version, value: write.value }, write.operationId);
    } else if (result.status !== 'unavailable') {
      this.#unresolved = true;
    }
  }

  /** Records the object as read from the platform; undefined: it does not exist. */
  observe(object: Pick<PlatformObject, 'version' | 'operationId' | 'value'> | undefined): void {
    const version = object?.version ?? 0;
    if (this.#seen && version < this.#seen.version) return;
    if (this.#unresolved) this.#attemptFailed = false;
    this.#unresolved = false;
    if (this.#seen?.version === version) return;
    this.#adopt(
      { version, value: object?.value as LeaseValue | undefined },
      object?.operationId ?? '',
    );
  }

  /** Stops acting as holder at once and for good; `next` then gives the lease away. */
  release(): void {
    this.#released = true;
  }

  get released(): boolean {
    return this.#released;
  }

  /** Whether a released lease needs no further write by this node. */
  get givenAway(): boolean {
    return this.#released && !this.#unresolved && !this.#isOurs();
  }

  #adopt(object: { version: number; value: LeaseValue | undefined }, operationId: string): void {
    const { clock, holdStart = holdFromSending } = this.#options;
    this.#seen = { ...object, sinceMs: clock.monotonicMs() };
    const fencing = object.value?.fencing ?? 0;
    invariant(fencing >= this.#largestFencing, 'lease-fencing-grows', {
      fencing,
      seen: this.#largestFencing,
    });
    this.#largestFencing = fencing;
    if (!this.#isOurs()) {
      this.#held = undefined;
      return;
    }
    const sent = this.#sent.get(operationId);
    if (sent) this.#held = { since: holdStart(sent, new Stopwatch(clock)), fencing };
    else if (this.#held?.fencing !== fencing) this.#held = undefined;
    this.#sent.clear();
  }

  #isOurs(): boolean {
    const { holder, incarnation } = this.#options.self;
    const value = this.#seen?.value;
    return value?.holder === holder && value.incarnation === incarnation;
  }

  #stepOfHolder(): LeaseStep {
    const value = this.#seen?.value;
    const { renewIntervalMs } = this.#options.timing;
    const sinceRenewal = this.#held?.since.elapsedMs() ?? Infinity;
    if (value === undefined) return { kind: 'read' };
    const waitMs = renewIntervalMs - sinceRenewal;
    if (waitMs > 0) return { kind: 'wait', delayMs: waitMs };
    return this.#write({ ...value, renewals: value.renewals + 1 });
  }

  #stepOfContender(seen: Seen): LeaseStep {
    const { clock, timing, self, extraWaitMs } = this.#options;
    const free = seen.value === undefined || seen.value.holder === '' || this.#isOurs();
    const waitMs = (free ? 0 : timing.ttlMs) + extraWaitMs();
    const remainingMs = waitMs - (clock.monotonicMs() - seen.sinceMs);
    if (remainingMs > 0) return { kind: 'wait', delayMs: remainingMs };
    return this.#write({ ...self, fencing: (seen.value?.fencing ?? 0) + 1, renewals: 0 });
  }

  #stepOfRelease(value: LeaseValue | undefined): LeaseStep {
    if (value === undefined) return { kind: 'read' };
    return this.#write({ ...value, holder: '', incarnation: '', address: '' });
  }

  #write(value: LeaseValue): LeaseWrite {
    return {
      kind: 'write',
      value,
      ifVersion: this.#seen?.version ?? 0,
      operationId: this.#options.newOperationId(),
    };
  }
}
