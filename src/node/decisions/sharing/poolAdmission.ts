import type { Random } from '../../../shared/random.ts';
import { type PoolOccupancy, roomOf, scoringFloor } from './poolRoom.ts';
import { ReturningCallers } from './returningCallers.ts';
import { ServiceRate } from './serviceRate.ts';
import type { ShareRule } from './shareRules.ts';
import { type AdmissionRequest, compareWaiting, type WaitingRequest } from './waitingRequest.ts';

/** Why a request is refused. */
export type RefusalReason = 'no-worker' | 'over-budget' | 'queue-full' | 'evicted' | 'account-full';

/** A request that may be sent to a worker. */
export interface AdmittedRequest {
  readonly request: AdmissionRequest;
  readonly waitedMs: number;
  readonly started: { readonly atMs: number };
}

export interface Refusal {
  readonly kind: 'refused';
  readonly reason: RefusalReason;
  /** After which time a place is expected, in ms, with jitter. */
  readonly retryAfterMs: number;
  /** Requests that go first. */
  readonly ahead: number;
}

export type AdmissionDecision =
  | Refusal
  | { readonly kind: 'admitted'; readonly admitted: AdmittedRequest }
  | { readonly kind: 'waiting'; readonly waiting: WaitingRequest };

/** What became of waiting requests. */
export interface QueueProgress {
  readonly admitted: readonly (readonly [WaitingRequest, AdmittedRequest])[];
  readonly refused: readonly (readonly [WaitingRequest, Refusal])[];
}

export interface PoolAdmissionOptions {
  readonly random: Random;
  readonly shares: ShareRule;
  /** Maximum number of requests that wait. @default 1024 */
  readonly maxWaiting?: number;
  /** Part of the places that the requests of one account may take. @default no bound */
  readonly accountPlaces?: number;
}

const MAX_WAITING = 1024;

/** Maximum wait, in ms, for requests with a longer budget: the longest slow phase of workers. */
const MAX_WAIT_MS = 5000;

/** Interval between checks of all waiting requests, in ms: sorting 1,024 on every answer takes too long on a small VM. */
const CHECK_INTERVAL_MS = 25;

/** Bounds on the time to wait that a refused caller is told, in ms: one usual piece of work, one slow phase. */
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 5000;

/** Jitter of the time to wait: refused callers return spread over as much time as the queue needs. */
const JITTER = { from: 0.75, span: 0.5 };

/**
 * Decides at one node which requests for a pool are sent, wait, or are refused. Its load: workers that fail or slow down,
 * so that more work comes than the pool does, from accounts of very different size and from urgent callers and scoring
 * calls at once. While the pool is believed to have room, each request is sent at once.
 */
export class PoolAdmission {
  readonly #options: PoolAdmissionOptions;

  readonly #returning = new ReturningCallers();

  readonly #rate = new ServiceRate();

  readonly #waiting = new Set<WaitingRequest>();

  readonly #placesOf = new Map<string, number>();

  #scoringInProgress = 0;

  #sequence = 0;

  /** When the waiting requests were last checked for whether they can be served, monotonic ms. */
  #checkedMs = -Infinity;

  constructor(options: PoolAdmissionOptions) {
    this.#options = options;
  }

  /** Requests that wait. */
  get waiting(): ReadonlySet<WaitingRequest> {
    return this.#waiting;
  }

  /** Number of requests that were admitted and not released. */
  get inProgress(): number {
    return this.#rate.inProgress;
  }

  /** Decides on a new request. */
  offer(request: AdmissionRequest, pool: PoolOccupancy, nowMs: number): AdmissionDecision {
    const { account, route } = request;
    this.#sequence += 1;
    const waiting: WaitingRequest = {
      ...{ request, sinceMs: nowMs, sequence: this.#sequence },
      isReturning: this.#returning.takeReturn(account, route, nowMs),
    };
    if (pool.workers.length === 0) return this.#refuse(waiting, 'no-worker', 0, nowMs);
    this.#options.shares.onWait(account);
    const ahead = this.#aheadOf(waiting, nowMs);
    if (ahead === 0 && this.#hasRoom(request, pool)) {
      return { kind: 'admitted', admitted: this.#start(waiting, nowMs) };
    }
    if (this.#isHopeless(request, ahead, pool, nowMs)) {
      return this.#refuse(waiting, 'over-budget', ahead, nowMs);
    }
    const { maxWaiting = MAX_WAITING, accountPlaces = Infinity } = this.#options;
    if ((this.#placesOf.get(account) ?? 0) >= maxWaiting * accountPlaces) {
      return this.#refuse(waiting, 'account-full', ahead, nowMs);
    }
    if (this.#waiting.size >= maxWaiting && ahead >= this.#waiting.size) {
      return this.#refuse(waiting, 'queue-full', ahead, nowMs);
    }
    this.#waiting.add(waiting);
    this.#placesOf.set(account, (this.#placesOf.get(account) ?? 0) + 1);
    return { kind: 'waiting', waiting };
  }

  /** Admits waiting requests for which there is room, and refuses those that can no longer be served. */
  advance(pool: PoolOccupancy, nowMs: number): QueueProgress {
    const { maxWaiting = MAX_WAITING } = this.#options;
    const admitted: [WaitingRequest, AdmittedRequest][] = [];
    const refused: [WaitingRequest, Refusal][] = [];
    const refuse = (waiting: WaitingRequest, reason: RefusalReason, ahead: number) => {
      this.withdraw(waiting);
      refused.push([waiting, this.#refuse(waiting, reason, ahead, nowMs)]);
    };
    if (pool.workers.length === 0) {
      for (const waiting of [...this.#waiting]) refuse(waiting, 'no-worker', 0);
      return { admitted, refused };
    }
    for (;;) {
      const next = this.#next(pool, nowMs, admitted.length);
      if (next === undefined) break;
      this.withdraw(next);
      admitted.push([next, this.#start(next, nowMs)]);
    }
    if (this.#waiting.size <= maxWaiting && nowMs - this.#checkedMs < CHECK_INTERVAL_MS) {
      return { admitted, refused };
    }
    this.#checkedMs = nowMs;
    for (const [ahead, waiting] of this.#ordered(nowMs).entries()) {
      if (ahead >= maxWaiting) refuse(waiting, 'evicted', ahead);
      else if (this.#isHopeless(waiting.request, ahead, pool, nowMs)) {
        refuse(waiting, 'over-budget', ahead);
      }
    }
    return { admitted, refused };
  }

  /** Removes a waiting request, for example of a caller that has left. */
  withdraw(waiting: WaitingRequest): void {
    if (!this.#waiting.delete(waiting)) return;
    const { account } = waiting.request;
    const places = (this.#placesOf.get(account) ?? 0) - 1;
    if (places > 0) this.#placesOf.set(account, places);
    else this.#placesOf.delete(account);
  }

  /** Ends a request that was admitted. */
  release({ request, started }: AdmittedRequest, nowMs: number): void {
    this.#rate.end(started, nowMs);
    if (request.isScoring) this.#scoringInProgress -= 1;
    this.#options.shares.onEnd(request.account, nowMs - started.atMs - request.workMs);
  }

  /** After which time the caller of a request that no worker took may return, in ms, with jitter. */
  retryAfterMs(ahead: number, workMs: number, nowMs: number): number {
    const { random } = this.#options;
    const intervalMs = this.#rate.intervalMs(nowMs, workMs) ?? workMs;
    const waitMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, ahead * intervalMs));
    return Math.round(waitMs * (JITTER.from + JITTER.span * random()));
  }

  #start(waiting: WaitingRequest, nowMs: number): AdmittedRequest {
    const { request, sinceMs } = waiting;
    if (request.isScoring) this.#scoringInProgress += 1;
    this.#options.shares.onStart(request.account, request.workMs);
    return { request, waitedMs: nowMs - sinceMs, started: this.#rate.begin(nowMs) };
  }

  #refuse(
    { request }: WaitingRequest,
    reason: RefusalReason,
    ahead: number,
    nowMs: number,
  ): Refusal {
    const retryAfterMs = this.retryAfterMs(ahead, request.workMs, nowMs);
    this.#returning.recordRefusal(request.account, request.route, retryAfterMs, nowMs);
    return { kind: 'refused', reason, retryAfterMs, ahead };
  }

  /** @param alreadyAdmitted - requests admitted since `pool` was measured */
  #hasRoom(
    { isUrgent, isScoring }: AdmissionRequest,
    pool: PoolOccupancy,
    alreadyAdmitted = 0,
  ): boolean {
    // One request of a node is always sent: its answer is what tells the node of room.
    if (this.#rate.inProgress === 0) return true;
    if (isScoring && this.#scoringInProgress < scoringFloor(pool) && roomOf(pool, true) > 0) {
      return true;
    }
    const notSent = Math.max(alreadyAdmitted, this.#rate.inProgress - pool.inFlight);
    return roomOf(pool, isUrgent) - notSent >= 1;
  }

  #next(pool: PoolOccupancy, nowMs: number, admitted: number): WaitingRequest | undefined {
    let next: WaitingRequest | undefined;
    for (const waiting of this.#waiting) {
      if (
        (next === undefined || compareWaiting(waiting, next, nowMs, this.#options.shares) < 0) &&
        this.#hasRoom(waiting.request, pool, admitted)
      ) {
        next = waiting;
      }
    }
    return next;
  }

  #ordered(nowMs: number): readonly WaitingRequest[] {
    const { shares } = this.#options;
    return [...this.#waiting].sort((a, b) => compareWaiting(a, b, nowMs, shares));
  }

  #aheadOf(waiting: WaitingRequest, nowMs: number): number {
    let ahead = 0;
    for (const other of this.#waiting) {
      if (compareWaiting(other, waiting, nowMs, this.#options.shares) < 0) ahead += 1;
    }
    return ahead;
  }

  /** Whether the request cannot be complete within its budget, with `ahead` others before it. */
  #isHopeless(
    { workMs, deadlineMs }: AdmissionRequest,
    ahead: number,
    pool: PoolOccupancy,
    nowMs: number,
  ): boolean {
    const intervalMs = this.#rate.intervalMs(nowMs, workMs) ?? workMs / pool.workers.length;
    const waitMs = ahead * intervalMs;
    return waitMs > MAX_WAIT_MS || nowMs + waitMs + workMs > deadlineMs;
  }
}
