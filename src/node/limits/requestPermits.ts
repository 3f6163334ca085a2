import { create, type MessageInitShape } from '@bufbuild/protobuf';
import {
  type IssuePermitsRequest,
  IssuePermitsRequestSchema,
  type IssuePermitsResponse,
  IssuePermitsResponseSchema,
  type RequestLimit,
} from '../../gen/hyssoppulley/v1/permit_pb.ts';
import type { NodeIdentity } from '../../gen/hyssoppulley/v1/peer_pb.ts';
import type { Clock } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import { type IssuedPermit, PermitIssuer } from '../decisions/permitIssuer.ts';
import { type IssuerCandidate, permitIssuerOf, permitShareOf } from '../decisions/permitShare.ts';
import type { LimitReport, RequestLimits } from '../decisions/requestLimits.ts';
import type { RegisteredWorker, WorkerRegistry } from '../gateway/workerRegistry.ts';
import type { MembershipView } from '../membership/membershipView.ts';
import type { Logger } from '../observability/logger.ts';
import type { Metrics } from '../observability/metrics.ts';

/** Timeout of a call to the issuing node, in ms; a permit is worth little more of a caller's time. */
const ISSUE_TIMEOUT_MS = 200;

/** Time for which a node that did not answer is not asked again, in ms; longer than it takes others to suspect it. */
const AVOID_MS = 3000;

/** Time for which the choice of the issuing node is cached, in ms. */
const ISSUER_CACHE_MS = 500;

/** Number of issuing nodes that are asked for one request. */
const MAX_ISSUERS_ASKED = 2;

/** Maximum number of permits and of workers in one call. */
const MAX_PERMITS = 64;
const MAX_WORKERS = 256;

export interface PermitRequest {
  readonly pool: string;
  /** The workers for which permits are wanted; those that name no limit need none. */
  readonly workers: readonly Pick<RegisteredWorker, 'id'>[];
  /** @default 1 */
  readonly count?: number;
  /** Longest delay of a permit, in ms. */
  readonly maxDelayMs: number;
}

export interface PermitGrant {
  readonly permits: readonly IssuedPermit[];
  /** When to ask for the missing permits, in ms; 0 when none is missing. */
  readonly retryAfterMs: number;
  /** Name of the node that decided; undefined when no node did. */
  readonly issuer: string | undefined;
}

/** Calls the node at an address. */
export type IssuePermits = (
  node: NodeIdentity,
  request: MessageInitShape<typeof IssuePermitsRequestSchema>,
  timeoutMs: number,
) => Promise<IssuePermitsResponse>;

export interface RequestPermitsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Pick<Metrics, 'permits'>;
  readonly limits: RequestLimits;
  readonly registry: Pick<WorkerRegistry, 'usable' | 'find'>;
  readonly view: Pick<MembershipView, 'self' | 'peers'> & { readonly leaving: boolean };
  readonly call: IssuePermits;
}

const toMessage = ({ worker, perSecond, ageMs }: LimitReport) => ({ worker, perSecond, ageMs });

/**
 * Obtains permits for requests to workers that name a request limit. The limit is one for all nodes, so one node issues the
 * permits of a pool; the others ask it. When it does not answer, the next node stands in with a small part of the limit until
 * the membership agrees on it.
 */
export class RequestPermits {
  readonly #options: RequestPermitsOptions;

  readonly #issuer = new PermitIssuer();

  /** Monotonic time until which a node is not asked, in ms, by node name. */
  readonly #avoidedUntilMs = new Map<string, number>();

  readonly #chosenIssuers = new Map<
    string,
    { readonly node: NodeIdentity; readonly atMs: number }
  >();

  constructor(options: RequestPermitsOptions) {
    this.#options = options;
  }

  /** Asks for permits. Resolves without any when they would come too late or no issuing node answers. */
  async obtain(request: PermitRequest): Promise<PermitGrant> {
    const { view, logger } = this.#options;
    for (let asked = 0; asked < MAX_ISSUERS_ASKED; asked += 1) {
      const issuer = this.#issuerOf(request.pool);
      try {
        const grant =
          issuer.name === view.self.name
            ? this.#issueHere(request)
            : await this.#ask(issuer, request);
        return { ...grant, issuer: issuer.name };
      } catch (error) {
        this.#avoid(issuer.name);
        logger.info('permit-issuer-silent', {
          pool: request.pool,
          issuer: issuer.name,
          message: messageOf(error),
        });
      }
    }
    return { permits: [], retryAfterMs: ISSUE_TIMEOUT_MS, issuer: undefined };
  }

  /** Reports what this node sent to a worker before it knew the worker's limit. */
  async reportUnpermitted(worker: string): Promise<void> {
    const { limits, registry, clock, view, logger, call } = this.#options;
    const nowMs = clock.monotonicMs();
    const pool = registry.find(worker)?.pool;
    const [limit] = limits.reportsOf([worker], nowMs);
    const unpermitted = limits.answersInLastSecond(worker, nowMs);
    if (pool === undefined || limit === undefined || unpermitted === 0) return;
    const issuer = this.#issuerOf(pool);
    const report = { ...toMessage(limit), unpermitted };
    const message = { pool, count: 0, maxDelayMs: 0, limits: [report] };
    try {
      if (issuer.name === view.self.name) {
        this.issue(create(IssuePermitsRequestSchema, message));
      } else await call(issuer, message, ISSUE_TIMEOUT_MS);
    } catch (error) {
      this.#avoid(issuer.name);
      logger.info('permit-issuer-silent', {
        ...{ pool, issuer: issuer.name, message: messageOf(error) },
      });
    }
  }

  /** Handles another node's request. */
  issue(request: IssuePermitsRequest): IssuePermitsResponse {
    const { limits, registry, clock } = this.#options;
    const nowMs = clock.monotonicMs();
    const workers = request.limits.slice(0, MAX_WORKERS);
    this.#merge(workers);
    for (const { worker, perSecond, unpermitted } of workers) {
      if (perSecond !== undefined && unpermitted > 0) {
        this.#issuer.charge({ id: worker, perSecond }, unpermitted, nowMs);
      }
    }
    const { permits, retryAfterMs } = this.#issueFor(
      request.pool,
      workers.map(({ worker }) => worker),
      Math.min(request.count, MAX_PERMITS),
      request.maxDelayMs,
    );
    const pooled = registry.usable(request.pool).map(({ id }) => id);
    const known = limits.reportsOf(pooled.slice(0, MAX_WORKERS), nowMs).map(toMessage);
    return create(IssuePermitsResponseSchema, {
      permits: [...permits],
      retryAfterMs,
      limits: known,
    });
  }

  /** Drops state that is no longer needed. */
  sweep(): void {
    const nowMs = this.#options.clock.monotonicMs();
    this.#issuer.sweep(nowMs);
    for (const [node, untilMs] of this.#avoidedUntilMs) {
      if (untilMs <= nowMs) this.#avoidedUntilMs.delete(node);
    }
    for (const [pool, { atMs }] of this.#chosenIssuers) {
      if (nowMs - atMs > ISSUER_CACHE_MS) this.#chosenIssuers.delete(pool);
    }
  }

  async #ask(issuer: NodeIdentity, request: PermitRequest): Promise<Omit<PermitGrant, 'issuer'>> {
    const { limits, clock, call, metrics } = this.#options;
    const { pool, workers, count = 1, maxDelayMs } = request;
    const ids = workers.slice(0, MAX_WORKERS).map(({ id }) => id);
    const known = limits.reportsOf(ids, clock.monotonicMs()).map(toMessage);
    const message = { pool, count, maxDelayMs: Math.floor(maxDelayMs), limits: known };
    const response = await call(issuer, message, ISSUE_TIMEOUT_MS);
    this.#merge(response.limits);
    const permits = response.permits.filter(({ worker }) => ids.includes(worker));
    metrics.permits.inc({ pool, outcome: 'granted' }, permits.length);
    metrics.permits.inc({ pool, outcome: 'denied' }, Math.max(0, count - permits.length));
    return { permits, retryAfterMs: response.retryAfterMs };
  }

  #issueHere({ pool, workers, count = 1, maxDelayMs }: PermitRequest) {
    const grant = this.#issueFor(
      pool,
      workers.map(({ id }) => id),
      count,
      maxDelayMs,
    );
    const { metrics } = this.#options;
    metrics.permits.inc({ pool, outcome: 'granted' }, grant.permits.length);
    metrics.permits.inc({ pool, outcome: 'denied' }, count - grant.permits.length);
    return grant;
  }

  #issueFor(pool: string, workers: readonly string[], count: number, maxDelayMs: number) {
    const { limits, view, clock } = this.#options;
    const free = workers.find((id) => limits.of(id) === undefined);
    // The worker has stopped naming a limit since the requesting node last heard from it.
    if (free !== undefined) return { permits: [{ worker: free, delayMs: 0 }], retryAfterMs: 0 };
    return this.#issuer.issue(
      {
        ...{ pool, count, maxDelayMs },
        workers: workers.map((id) => ({ id, perSecond: limits.of(id) ?? 0 })),
        share: permitShareOf(view.self.name, pool, this.#nodes()),
      },
      clock.monotonicMs(),
    );
  }

  #merge(reports: readonly RequestLimit[]): void {
    const { limits, clock, logger } = this.#options;
    const nowMs = clock.monotonicMs();
    for (const { worker, perSecond, ageMs } of reports) {
      const change = limits.observe(worker, perSecond, nowMs - ageMs);
      if (change !== undefined) {
        logger.info('request-limit-learned', { worker, change, limitPerSecond: perSecond, ageMs });
        if (change === 'named') void this.reportUnpermitted(worker);
      }
    }
  }

  #nodes(): (IssuerCandidate & { readonly identity: NodeIdentity })[] {
    const { view } = this.#options;
    const { self, leaving } = view;
    return [{ identity: self, suspected: false, leaving }, ...view.peers()].map((node) => ({
      name: node.identity.name,
      capacityMillicores: node.identity.capacityMillicores,
      suspected: node.suspected,
      leaving: node.leaving,
      identity: node.identity,
    }));
  }

  #issuerOf(pool: string): NodeIdentity {
    const { clock, view } = this.#options;
    const nowMs = clock.monotonicMs();
    const cached = this.#chosenIssuers.get(pool);
    if (cached !== undefined && nowMs - cached.atMs < ISSUER_CACHE_MS) return cached.node;
    const reachable = this.#nodes().filter(
      ({ name }) => (this.#avoidedUntilMs.get(name) ?? -Infinity) <= nowMs,
    );
    const node = permitIssuerOf(pool, reachable)?.identity ?? view.self;
    this.#chosenIssuers.set(pool, { node, atMs: nowMs });
    return node;
  }

  #avoid(node: string): void {
    this.#avoidedUntilMs.set(node, this.#options.clock.monotonicMs() + AVOID_MS);
    this.#chosenIssuers.clear();
  }
}
