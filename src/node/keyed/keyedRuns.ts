import type { IncomingHttpHeaders } from 'node:http';
import { type Clock, Stopwatch } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import { CALLER_HEADER, HOP_HEADER, IDEMPOTENCY_KEY_HEADER } from '../constants.ts';
import type {
  DispatchOnceOptions,
  DispatchOnceRequest,
  DispatchOnceResult,
} from '../dataPath/dispatchOnce.ts';
import { forwardHeaders } from '../dataPath/forwardHeaders.ts';
import { AdmissionError } from '../decisions/admission.ts';
import { fingerprintOf, type IdempotencyKey } from '../decisions/idempotencyKey.ts';
import type { KeyHome } from '../decisions/keyHome.ts';
import type { NotRunCode, Settlement } from '../decisions/keyRecord.ts';
import type { GrantDecision } from '../decisions/keyWitness.ts';
import { matchRoute } from '../decisions/matchRoute.ts';
import type { MembershipView, TablesView, WorkerEndpoint } from '../membership/membershipView.ts';
import type { Logger } from '../observability/logger.ts';
import { noTracing, type Tracing } from '../observability/tracing.ts';
import { withSpan, withTraceparent } from '../observability/withSpan.ts';
import type { ResolvedRoute } from '../tables/resolveTables.ts';
import { MAX_DELIVERED_RESPONSE_BYTES } from './constants.ts';

/** A keyed request that was read completely. */
export interface KeyedRequest {
  readonly key: IdempotencyKey;
  readonly method: string;
  readonly pathAndQuery: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

/** How a request was settled, and whether it got the response to an earlier request with the same key. */
export interface SettledRequest {
  readonly settlement: Settlement;
  readonly repeated: boolean;
}

/** Sends a request to a worker at most once; see `dispatchOnce`. */
export type Dispatch = (
  request: DispatchOnceRequest,
  options: DispatchOnceOptions,
) => Promise<DispatchOnceResult>;

/** The methods of `KeyHome` that a run needs. */
export type HomeDecisions = Pick<
  KeyHome,
  | 'abandon'
  | 'recordResponse'
  | 'recordLostResponse'
  | 'arrive'
  | 'beginDispatch'
  | 'close'
  | 'handleGrantDecision'
  | 'settlementOf'
  | 'stopWaiting'
>;

export interface KeyedRunsOptions {
  readonly home: HomeDecisions;
  readonly tables: Pick<TablesView, 'current'>;
  readonly membership: Pick<MembershipView, 'mayServe'>;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Asks the key's witness for a grant. Resolves to undefined if it does not respond in time. */
  readonly requestGrant: (key: IdempotencyKey) => Promise<GrantDecision | undefined>;
  /** @default noTracing */
  readonly tracing?: Tracing;
  readonly dispatch: Dispatch;
  /** Waits for admission to the pool. Rejects when the request is refused. */
  readonly admit: (route: ResolvedRoute, caller: string) => Promise<Placement>;
  /** Time limit for opening a connection to a worker, in ms. */
  readonly connectTimeoutMs: number;
  /** Called with a worker to which no connection could be opened. */
  readonly onRefused?: (worker: WorkerEndpoint) => void;
  /** Called for each settled request, for metrics. */
  readonly onSettled?: (settlement: Settlement) => void;
  /** Called for each repeat that is settled by an earlier or running request with the same key. */
  readonly onRepeat?: () => void;
}

/** An admission to the workers of a pool, released on disposal. */
export interface Placement extends Disposable {
  /** Chooses a worker, preferably one whose address is not in `exclude`; undefined if no worker accepts requests. */
  choose(choice: { readonly exclude: ReadonlySet<string> }): WorkerEndpoint | undefined;
}

const headersForWorker = ({ headers, key }: KeyedRequest) =>
  Object.fromEntries(
    Object.entries({ ...forwardHeaders(headers), [IDEMPOTENCY_KEY_HEADER]: key.text }).filter(
      ([name]) => name !== HOP_HEADER,
    ),
  );

/**
 * Runs the requests whose home is this node. A run continues when its caller disconnects, so that a repeat gets the
 * response.
 */
export class KeyedRuns {
  readonly #options: KeyedRunsOptions;

  /** Running requests, by key. Bounded by the maximum number of records of the home. */
  readonly #running = new Map<string, Promise<Settlement>>();

  constructor(options: KeyedRunsOptions) {
    this.#options = options;
  }

  /** Resolves when all requests running now have ended. */
  async drained(): Promise<void> {
    await Promise.all(this.#running.values());
  }

  /** Settles a request: runs it, waits for the running request with the same key, or returns the kept response. */
  async handle(request: KeyedRequest): Promise<SettledRequest> {
    const { home } = this.#options;
    const { key } = request;
    const route = this.#routeOf(request);
    const refusal = typeof route === 'string' ? route : undefined;
    const fingerprint = fingerprintOf(request.method, request.pathAndQuery, request.body);
    const arrival = home.arrive(key, fingerprint, refusal);
    if (arrival.next === 'settled') {
      const { settlement } = arrival;
      const repeated = settlement.outcome === 'answered';
      if (repeated) this.#options.onRepeat?.();
      else this.#options.onSettled?.(settlement);
      return { settlement, repeated };
    }
    if (arrival.next === 'wait') {
      const settlement = (await this.#running.get(key.text)) ?? home.abandon(key);
      home.stopWaiting(key);
      this.#options.onRepeat?.();
      return { settlement, repeated: settlement.outcome === 'answered' };
    }
    const run = this.#run(request, route as ResolvedRoute, arrival.next === 'ask-witness');
    this.#running.set(key.text, run);
    const settlement = await run;
    this.#running.delete(key.text);
    this.#options.onSettled?.(settlement);
    return { settlement, repeated: false };
  }

  /** Returns the matching route in this node's tables, or the code of the refusal. */
  #routeOf(request: KeyedRequest): ResolvedRoute | NotRunCode {
    const { tables, membership } = this.#options;
    const current = tables.current();
    if (current === undefined || !membership.mayServe()) return 'not-serving';
    const route = matchRoute(current, {
      method: request.method,
      path: request.pathAndQuery.split('?', 1)[0] ?? '/',
      caller: String(request.headers[CALLER_HEADER] ?? ''),
      headers: request.headers,
    });
    const pool = current.pools.get(route?.pool ?? '');
    if (route === undefined || route.idempotent || pool === undefined) return 'no-route';
    return request.body.length > pool.maxBodyBytes ? 'body-too-large' : route;
  }

  async #run(
    request: KeyedRequest,
    route: ResolvedRoute,
    needsGrant: boolean,
  ): Promise<Settlement> {
    const { home, logger } = this.#options;
    const { key } = request;
    try {
      using placement = await this.#admit(request, route);
      if (placement === undefined) return this.#settlement(key);
      if (needsGrant && !home.handleGrantDecision(key, await this.#requestGrant(request))) {
        return this.#settlement(key);
      }
      return await this.#dispatch(request, route, placement);
    } catch (error) {
      logger.error('keyed-run-error', { message: messageOf(error) });
      return home.abandon(key);
    }
  }

  #requestGrant({ key, headers }: KeyedRequest): Promise<GrantDecision | undefined> {
    const { requestGrant, tracing = noTracing } = this.#options;
    const hop = { name: 'grant', kind: 'client', parent: headers.traceparent } as const;
    return withSpan(tracing, hop, () => requestGrant(key));
  }

  /** Returns the settlement of a run that ended without a response. */
  #settlement(key: IdempotencyKey): Settlement {
    const { home } = this.#options;
    return home.settlementOf(key) ?? home.abandon(key);
  }

  async #admit({ key, headers }: KeyedRequest, route: ResolvedRoute) {
    try {
      return await this.#options.admit(route, String(headers[CALLER_HEADER] ?? ''));
    } catch (error) {
      if (!(error instanceof AdmissionError)) throw error;
      this.#options.home.close(key, 'overloaded');
      return undefined;
    }
  }

  async #dispatch(
    request: KeyedRequest,
    route: ResolvedRoute,
    placement: Placement,
  ): Promise<Settlement> {
    const { home, clock } = this.#options;
    const { key } = request;
    const elapsed = new Stopwatch(clock);
    const tried = new Set<string>();
    for (;;) {
      const worker = placement.choose({ exclude: tried });
      const timeoutMs = route.timeoutMs - elapsed.elapsedMs();
      if (worker === undefined || tried.has(worker.address) || timeoutMs <= 0) {
        home.close(key, 'no-worker');
        return this.#settlement(key);
      }
      tried.add(worker.address);
      const result = await this.#send(request, worker, timeoutMs);
      if (result.status === 'answered') {
        home.recordResponse(key, result);
        return { outcome: 'answered', response: result };
      }
      if (result.status === 'unknown') home.recordLostResponse(key);
      const settlement = home.settlementOf(key);
      if (settlement) return settlement;
      this.#options.onRefused?.(worker);
    }
  }

  #send(
    request: KeyedRequest,
    worker: WorkerEndpoint,
    timeoutMs: number,
  ): Promise<DispatchOnceResult> {
    const { home, membership, dispatch, clock, connectTimeoutMs } = this.#options;
    const { tracing = noTracing } = this.#options;
    const options = {
      clock,
      connectTimeoutMs,
      timeoutMs,
      maxResponseBytes: MAX_DELIVERED_RESPONSE_BYTES,
      mayDispatch: () => home.beginDispatch(request.key, membership.mayServe()),
    };
    const hop = {
      name: 'worker',
      kind: 'client',
      parent: request.headers.traceparent,
      attributes: { 'hyssoppulley.worker': worker.name },
    } as const;
    return withSpan(tracing, hop, (span) =>
      dispatch(
        {
          address: worker.address,
          method: request.method,
          path: request.pathAndQuery,
          headers: withTraceparent(headersForWorker(request), span),
          body: request.body,
        },
        options,
      ),
    );
  }
}
