import type { Clock } from '../../shared/clock.ts';
import type { Random } from '../../shared/random.ts';
import {
  type AdmittedRequest,
  PoolAdmission,
  type Refusal,
} from '../decisions/sharing/poolAdmission.ts';
import type { PoolOccupancy } from '../decisions/sharing/poolRoom.ts';
import { createFairQueueing } from '../decisions/sharing/shareRules.ts';
import type { AdmissionRequest, WaitingRequest } from '../decisions/sharing/waitingRequest.ts';
import type { Logger } from '../observability/logger.ts';
import type { Metrics } from '../observability/metrics.ts';
import type { ForwardedRequest } from './forwardedRequest.ts';
import type { GatewayRoute } from './gatewayTables.ts';
import type { LoadBalancer } from './loadBalancer.ts';

export interface AdmissionGateOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly loadBalancer: Pick<LoadBalancer, 'occupancyOf' | 'workMs'>;
  /** Whether callers compete for the pool; engines order their requests themselves, by priority. */
  readonly isShared: (pool: string) => boolean;
  /** Whether no other route of the pool is more urgent than one of this priority. */
  readonly isMostUrgent: (priority: number, pool: string) => boolean;
}

/** A request for a place in a pool. */
export interface PlaceRequest {
  readonly request: ForwardedRequest;
  readonly route: GatewayRoute;
  readonly pool: string;
  /** Aborted when the caller has left or the time budget is used up. */
  readonly signal: AbortSignal;
}

/** A place in a pool, held until it is disposed of. */
export interface Place extends Disposable {
  readonly kind: 'admitted';
  /** When the caller may return if the workers refuse the request, in ms; undefined where the node does not know. */
  retryAfterMs(): number | undefined;
}

/** A request that was not sent to any worker. */
export interface PlaceRefusal {
  readonly kind: 'refused';
  readonly reason: string;
  readonly retryAfterMs: number;
}

/** Requests of one account at this node. */
export interface AccountWaiting {
  readonly account: string;
  /** Requests that wait now. */
  readonly waiting: number;
  /** Requests refused since the start of the node. */
  readonly refused: number;
}

/** Interval at which waiting requests are looked at when no answer arrives, in ms. */
const ADVANCE_INTERVAL_MS = 25;

/** Accounts whose refusals are counted; the one that was refused first is dropped. */
const MAX_ACCOUNTS = 4096;

const UNLIMITED: Place = {
  kind: 'admitted',
  retryAfterMs: () => undefined,
  [Symbol.dispose]() {},
};

const REASONS: Readonly<Record<Refusal['reason'] | 'left', string>> = {
  'no-worker': 'no worker is available',
  'over-budget': 'the pool is full, and its queue is too long for the time budget',
  'queue-full': 'the pool and its queue are full',
  evicted: 'the pool is full, and more urgent requests took the places of its queue',
  'account-full': 'the pool is full, and so are the places of the account',
  left: 'the caller left or its time was used up while the request waited',
};

interface PoolQueue {
  readonly name: string;
  readonly admission: PoolAdmission;
  /** Called with the decision on a waiting request. */
  readonly decided: Map<WaitingRequest, (decision: AdmittedRequest | Refusal) => void>;
  timer: Disposable | undefined;
}

/** Queues requests in front of pools that are full; see `PoolAdmission` for the decision. */
export class AdmissionGate implements Disposable {
  readonly #options: AdmissionGateOptions;

  readonly #queues = new Map<string, PoolQueue>();

  readonly #refusedOf = new Map<string, number>();

  constructor(options: AdmissionGateOptions) {
    this.#options = options;
  }

  /** Resolves when the request may be sent to a worker of the pool, or is refused. */
  async admit(place: PlaceRequest): Promise<Place | PlaceRefusal> {
    const { clock, loadBalancer, isShared } = this.#options;
    const occupancy = isShared(place.pool) ? loadBalancer.occupancyOf(place.pool) : undefined;
    if (occupancy === undefined) return UNLIMITED;
    const queue = this.#queueOf(place.pool);
    const nowMs = clock.monotonicMs();
    const decision = queue.admission.offer(this.#toRequest(place), occupancy, nowMs);
    if (decision.kind === 'admitted') return this.#toPlace(queue, decision.admitted);
    if (decision.kind === 'refused') return this.#recordRefusal(place, decision, 0, occupancy);
    return this.#wait(queue, place, decision.waiting);
  }

  /** Accounts with requests that wait now or were refused, for the view of operators. */
  accountsWaiting(): readonly AccountWaiting[] {
    const waitingOf = new Map<string, number>();
    for (const { admission } of this.#queues.values()) {
      for (const { request } of admission.waiting) {
        waitingOf.set(request.account, (waitingOf.get(request.account) ?? 0) + 1);
      }
    }
    return [...new Set([...waitingOf.keys(), ...this.#refusedOf.keys()])].map((account) => ({
      account,
      waiting: waitingOf.get(account) ?? 0,
      refused: this.#refusedOf.get(account) ?? 0,
    }));
  }

  /** Drops the queues of pools that `isKnown` rejects. */
  retain(isKnown: (pool: string) => boolean): void {
    for (const [pool, { admission, timer }] of this.#queues) {
      if (isKnown(pool) || admission.inProgress > 0 || admission.waiting.size > 0) continue;
      timer?.[Symbol.dispose]();
      this.#queues.delete(pool);
    }
  }

  [Symbol.dispose](): void {
    for (const { timer } of this.#queues.values()) timer?.[Symbol.dispose]();
  }

  #queueOf(pool: string): PoolQueue {
    const known = this.#queues.get(pool);
    if (known !== undefined) return known;
    const { random } = this.#options;
    const admission = new PoolAdmission({ random, shares: createFairQueueing() });
    const queue: PoolQueue = { name: pool, admission, decided: new Map(), timer: undefined };
    this.#queues.set(pool, queue);
    return queue;
  }

  #toRequest({ request, route, pool }: PlaceRequest): AdmissionRequest {
    const { clock, loadBalancer, isMostUrgent } = this.#options;
    const arrivedMs = clock.monotonicMs() - request.sinceArrival.elapsedMs();
    const priority = request.account?.priority ?? route.priority;
    const isScoring = request.scoring ?? false;
    return {
      ...{ route: route.name, account: request.account?.name ?? '', priority, isScoring },
      isUrgent: !isScoring && isMostUrgent(priority, pool),
      deadlineMs: arrivedMs + request.budgetMs,
      targetMs: arrivedMs + route.targetLatencyMs,
      workMs: loadBalancer.workMs(route),
    };
  }

  #toPlace(queue: PoolQueue, admitted: AdmittedRequest): Place {
    const { clock } = this.#options;
    const { admission } = queue;
    return {
      kind: 'admitted',
      retryAfterMs: () =>
        admission.retryAfterMs(
          admission.waiting.size,
          admitted.request.workMs,
          clock.monotonicMs(),
        ),
      [Symbol.dispose]: () => {
        admission.release(admitted, clock.monotonicMs());
        this.#advance(queue);
      },
    };
  }

  async #wait(
    queue: PoolQueue,
    place: PlaceRequest,
    waiting: WaitingRequest,
  ): Promise<Place | PlaceRefusal> {
    const { clock, logger, loadBalancer, metrics } = this.#options;
    const { request, route, pool, signal } = place;
    const { priority, account } = waiting.request;
    const labels = { pool, priority: String(priority) };
    metrics.queued.inc(labels);
    const decision = await new Promise<AdmittedRequest | Refusal | 'left'>((resolve) => {
      const leave = () => {
        queue.decided.delete(waiting);
        queue.admission.withdraw(waiting);
        resolve('left');
      };
      queue.decided.set(waiting, (decided) => {
        signal.removeEventListener('abort', leave);
        resolve(decided);
      });
      if (signal.aborted) leave();
      else signal.addEventListener('abort', leave, { once: true });
      this.#advance(queue);
    });
    metrics.queued.dec(labels);
    const waitedMs = clock.monotonicMs() - waiting.sinceMs;
    if (decision !== 'left' && 'started' in decision) {
      logger.info('request-admitted', {
        ...{ request: request.id, route: route.name, pool, account, priority },
        ...{ waitedMs: Math.round(waitedMs), returning: waiting.isReturning },
      });
      return this.#toPlace(queue, decision);
    }
    const { admission } = queue;
    const refusal: Omit<Refusal, 'reason'> & { reason: keyof typeof REASONS } =
      decision === 'left'
        ? {
            ...{ kind: 'refused', reason: 'left', ahead: admission.waiting.size },
            retryAfterMs: admission.retryAfterMs(
              admission.waiting.size,
              waiting.request.workMs,
              clock.monotonicMs(),
            ),
          }
        : decision;
    return this.#recordRefusal(place, refusal, waitedMs, loadBalancer.occupancyOf(pool));
  }

  #advance(queue: PoolQueue): void {
    const { clock, loadBalancer } = this.#options;
    if (queue.admission.waiting.size === 0) return;
    const occupancy = loadBalancer.occupancyOf(queue.name) ?? { workers: [], inFlight: 0 };
    const { admitted, refused } = queue.admission.advance(occupancy, clock.monotonicMs());
    for (const [waiting, decision] of [...admitted, ...refused]) {
      const decide = queue.decided.get(waiting);
      queue.decided.delete(waiting);
      decide?.(decision);
    }
    if (queue.admission.waiting.size === 0 || queue.timer !== undefined) return;
    // eslint-disable-next-line no-param-reassign
    queue.timer = clock.schedule(ADVANCE_INTERVAL_MS, () => {
      // eslint-disable-next-line no-param-reassign
      queue.timer = undefined;
      this.#advance(queue);
    });
  }

  #recordRefusal(
    { request, route, pool }: PlaceRequest,
    refusal: Omit<Refusal, 'reason'> & { readonly reason: keyof typeof REASONS },
    waitedMs: number,
    occupancy: PoolOccupancy | undefined,
  ): PlaceRefusal {
    const { logger, metrics } = this.#options;
    const { reason, retryAfterMs, ahead } = refusal;
    const account = request.account?.name ?? '';
    metrics.admissionRefusals.inc({ pool, reason });
    this.#refusedOf.set(account, (this.#refusedOf.get(account) ?? 0) + 1);
    const [oldest] = this.#refusedOf.keys();
    if (this.#refusedOf.size > MAX_ACCOUNTS && oldest !== undefined) this.#refusedOf.delete(oldest);
    logger.info('request-refused-by-admission', {
      ...{ request: request.id, route: route.name, pool, account, reason, ahead, retryAfterMs },
      ...{ waitedMs: Math.round(waitedMs), scoring: request.scoring },
      remainingMs: Math.round(request.budgetMs - request.sinceArrival.elapsedMs()),
      workers: occupancy?.workers.length,
      slots: occupancy?.workers.reduce((sum, { slots }) => sum + slots, 0),
      load: occupancy?.workers.reduce((sum, { load }) => sum + load, 0),
      inFlight: occupancy?.inFlight,
    });
    return { kind: 'refused', reason: REASONS[reason], retryAfterMs };
  }
}
