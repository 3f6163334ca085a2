/** A registered worker of a pool. */
export interface OrderedWorker {
  readonly availabilityZone: string;
  readonly spot: boolean;
  readonly draining: boolean;
  /** Time until the worker stops, in ms; undefined where it does not say so. */
  readonly leavesInMs: number | undefined;
}

/** How the control API answered an order. `not-sent`: it was withheld. */
export type OrderResult = 'accepted' | 'none-available' | 'refused' | 'unknown' | 'not-sent';

/** Time after the start of a worker until its registration is known here, in ms: a heartbeat and a relay of it. */
const REGISTRATION_GRACE_MS = 2500;

/** Longest time after which an order without an answer may still take effect, in ms. */
export const MAX_ORDER_TRANSIT_MS = 12_000;

/** Time after a reclaim for which the zone has no spot workers, in ms. */
const RECLAIM_PAUSE_MS = 9000;

/** Time after which an order is repeated that was refused because no workers were available, in ms; each one costs. */
const NONE_AVAILABLE_PAUSE_MS = 5000;

/** Time after which an order is repeated that exceeded the rate of the control API, in ms. */
const REFUSED_PAUSE_MS = 1000;

/** The current order for one kind of workers in one zone, and what the registrations show of it. */
export class OrderSubject {
  readonly zone: string;

  readonly spot: boolean;

  #ordered: number;

  #registered: number;

  #sentAtMs = -Infinity;

  #differsSinceMs: number | undefined;

  #uncertain:
    | {
        readonly count: number;
        readonly former: number;
        readonly formerSentAtMs: number;
        readonly untilMs: number;
      }
    | undefined;

  #pausedUntilMs = -Infinity;

  #blockedUntilMs = -Infinity;

  /** @param registered - workers at the start of the term, which count as ordered */
  constructor(zone: string, spot: boolean, registered: number) {
    this.zone = zone;
    this.spot = spot;
    this.#ordered = registered;
    this.#registered = registered;
  }

  /** Number in the order that is in effect as far as known. */
  get ordered(): number {
    return this.#ordered;
  }

  /** Registered workers that are not draining. */
  get registered(): number {
    return this.#registered;
  }

  /** Ordered workers that do not serve yet. */
  get starting(): number {
    return Math.max(0, this.#ordered - this.#registered);
  }

  /** Whether no additional workers are available at the moment. */
  isBlocked(nowMs: number): boolean {
    return nowMs < this.#blockedUntilMs;
  }

  /** Whether an order may be sent now. */
  maySend(nowMs: number): boolean {
    return this.#uncertain === undefined && nowMs >= this.#pausedUntilMs;
  }

  /** Time since the last order, in ms. */
  sinceOrderMs(nowMs: number): number {
    return nowMs - this.#sentAtMs;
  }

  /**
   * Compares the order with the registrations of this kind of workers in this zone. Workers that were reclaimed, and
   * orders without effect for longer than a start takes, no longer count as ordered.
   *
   * @returns whether workers were reclaimed
   */
  observe(workers: readonly OrderedWorker[], startMs: number, nowMs: number): boolean {
    const former = this.#registered;
    this.#registered = workers.filter(({ draining }) => !draining).length;
    this.#resolveUncertain(startMs, nowMs);
    const leaving = workers.filter(({ draining }) => draining);
    const isReclaimed =
      this.spot &&
      leaving.length > 0 &&
      this.#registered < former &&
      this.#registered < this.#ordered;
    if (isReclaimed) {
      const leavesInMs = Math.max(...leaving.map((worker) => worker.leavesInMs ?? 0));
      this.#blockedUntilMs = nowMs + leavesInMs + RECLAIM_PAUSE_MS;
      this.#ordered = this.#registered;
    }
    this.#adoptLastingDifference(startMs, nowMs);
    return isReclaimed;
  }

  /** Records that an order was sent, before its answer. */
  recordSent(count: number, nowMs: number): void {
    const untilMs = nowMs + MAX_ORDER_TRANSIT_MS;
    this.#uncertain = { count, former: this.#ordered, formerSentAtMs: this.#sentAtMs, untilMs };
    this.#sentAtMs = nowMs;
    this.#differsSinceMs = undefined;
    this.#ordered = count;
  }

  /** @param count - number in the answered order; the answer to an order that a later one replaced is ignored */
  recordResult(count: number, result: OrderResult, nowMs: number): void {
    const sent = this.#uncertain;
    if (sent?.count !== count || result === 'unknown') return;
    this.#uncertain = undefined;
    if (result === 'accepted') return;
    this.#ordered = sent.former;
    if (result === 'not-sent') this.#sentAtMs = sent.formerSentAtMs;
    else if (result === 'refused') this.#pausedUntilMs = nowMs + REFUSED_PAUSE_MS;
    else this.#blockedUntilMs = Math.max(this.#blockedUntilMs, nowMs + NONE_AVAILABLE_PAUSE_MS);
  }

  /** An order without an answer took effect once the registered number has reached it. */
  #resolveUncertain(startMs: number, nowMs: number): void {
    const sent = this.#uncertain;
    if (sent === undefined) return;
    const hadNoEffect =
      this.#registered === sent.former &&
      nowMs - this.#sentAtMs > startMs + REGISTRATION_GRACE_MS &&
      sent.former !== sent.count;
    if (this.#registered === sent.count || nowMs >= sent.untilMs) this.#uncertain = undefined;
    else if (hadNoEffect) {
      this.#uncertain = undefined;
      this.#ordered = sent.former;
    }
  }

  #adoptLastingDifference(startMs: number, nowMs: number): void {
    if (this.#registered === this.#ordered) {
      this.#differsSinceMs = undefined;
      return;
    }
    this.#differsSinceMs ??= nowMs;
    const isLasting = nowMs - this.#differsSinceMs > startMs + REGISTRATION_GRACE_MS;
    if (!isLasting || this.#uncertain !== undefined) return;
    this.#ordered = this.#registered;
    this.#differsSinceMs = undefined;
  }
}
