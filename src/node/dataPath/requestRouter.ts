import type { IncomingMessage, ServerResponse } from 'node:http';
import { Priority, Protocol } from '../../gen/hyssoppulley/v1/tables_pb.ts';
import type { Clock } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import { newId, type Random } from '../../shared/random.ts';
import { CALLER_HEADER, IDEMPOTENCY_KEY_HEADER, OUTCOME_HEADER } from '../constants.ts';
import { AdmissionError } from '../decisions/admission.ts';
import { AttemptGate } from '../decisions/attemptGate.ts';
import { matchRoute } from '../decisions/matchRoute.ts';
import { RetryBudgets } from '../decisions/retryBudgets.ts';
import type { MembershipView, TablesView } from '../membership/membershipView.ts';
import type { HopSpan } from '../observability/tracing.ts';
import type { ResolvedPool, ResolvedRoute } from '../tables/resolveTables.ts';
import type { AdmissionController } from './admissionController.ts';
import { parseResumableCompletion } from './completionRequest.ts';
import { MAX_QUEUE_WAIT_MS } from './constants.ts';
import { COMPLETIONS_PATH, ENGINE_PATHS } from './enginePaths.ts';
import { toRequestFailure } from './toRequestFailure.ts';
import type { GenerationHandler } from './generationHandler.ts';
import { headerOf, pathOf, type RequestHandler } from './httpServer.ts';
import { RequestError, requestError, sendProblem } from './problem.ts';
import { prepareBody, readFullBody } from './requestBody.ts';
import type { HandlerDependencies, RequestContext } from './requestContext.ts';
import { RequestScope } from './requestScope.ts';
import type { ServiceHandler } from './serviceHandler.ts';
import type { WorkerSlot } from './workerSlot.ts';

/** Handles requests of a route with `idempotent: false`. */
export type NonIdempotentHandler = (
  route: ResolvedRoute,
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

export interface RequestRouterOptions extends HandlerDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly tables: TablesView;
  readonly membership: MembershipView;
  readonly admission: AdmissionController;
  readonly serviceHandler: ServiceHandler;
  readonly generationHandler: GenerationHandler;
  /**
   * Handles requests that must not run more than once.
   *
   * @default such requests are refused
   */
  readonly handleNonIdempotent?: NonIdempotentHandler;
}

/** Time to flush an error response, in ms, before its connection is destroyed. */
const LINGER_MS = 1000;

const toRequestError = (error: unknown): unknown => {
  if (!(error instanceof AdmissionError)) return error;
  const { code, retryAfterMs } = error;
  const isCallerLimit = code.startsWith('caller-') && code !== 'caller-gone';
  return requestError(error.message, {
    outcome: 'not-run',
    statusCode: isCallerLimit ? 429 : 503,
    code,
    retryAfterMs,
  });
};

/** Matches requests to routes and dispatches them to the workers of the route's pool. */
export class RequestRouter {
  readonly #options: RequestRouterOptions;

  readonly #budgets = new RetryBudgets();

  constructor(options: RequestRouterOptions) {
    this.#options = options;
  }

  readonly handler: RequestHandler = async (request, response) => {
    const { clock, metrics } = this.#options;
    const route = this.#matchRoute(request);
    const startMs = clock.monotonicMs();
    const span = this.#options.tracing.startSpan(
      'request',
      'server',
      headerOf(request, 'traceparent'),
      {
        'hyssoppulley.route': route.name,
        'http.request.method': request.method,
      },
    );
    let outcome: string;
    if (route.idempotent) outcome = await this.#serveIdempotent(route, request, response, span);
    else {
      // The keyed module forwards these headers, so that the spans of its hops become children of this one.
      if (span.traceparent !== undefined) request.headers.traceparent = span.traceparent;
      outcome = await this.#serveNonIdempotent(route, request, response);
    }
    span.end(outcome === 'answered' ? undefined : outcome);
    metrics.requests.inc({ route: route.name, outcome });
    metrics.requestSeconds.observe({ route: route.name }, (clock.monotonicMs() - startMs) / 1000);
    return true;
  };

  #matchRoute(request: IncomingMessage): ResolvedRoute {
    const { tables, membership } = this.#options;
    const current = tables.current();
    const route =
      current &&
      matchRoute(current, {
        method: request.method ?? 'GET',
        path: pathOf(request),
        caller: headerOf(request, CALLER_HEADER),
        headers: request.headers,
      });
    // Only the home node of an idempotency key knows whether its request has run, so this node must not refuse the
    // request as `not-run`.
    if (route?.idempotent === false) return route;
    const mayHaveRun = route === undefined && headerOf(request, IDEMPOTENCY_KEY_HEADER) !== '';
    const outcome = mayHaveRun ? 'unknown' : 'not-run';
    if (!membership.mayServe() || current === undefined) {
      throw requestError('this node does not accept requests now; use another entry node', {
        outcome,
        statusCode: 503,
        code: 'not-serving',
        retryAfterMs: 1000,
      });
    }
    if (route !== undefined) return route;
    throw requestError('no route matches the request', {
      outcome,
      statusCode: 404,
      code: 'no-route',
    });
  }

  async #serveNonIdempotent(
    route: ResolvedRoute,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<string> {
    const { handleNonIdempotent } = this.#options;
    if (handleNonIdempotent === undefined) {
      throw requestError('this node does not accept non-idempotent requests', {
        outcome: 'not-run',
        statusCode: 503,
        code: 'non-idempotent-unavailable',
      });
    }
    await handleNonIdempotent(route, request, response);
    return String(response.getHeader(OUTCOME_HEADER) ?? 'answered');
  }

  /** Handles a request that may run more than once. Returns its outcome for the metrics. */
  async #serveIdempotent(
    route: ResolvedRoute,
    request: IncomingMessage,
    response: ServerResponse,
    span: HopSpan,
  ): Promise<string> {
    using scope = new RequestScope(this.#options.clock, route.timeoutMs, response);
    const id = newId();
    let context: RequestContext | undefined;
    try {
      const pool = this.#poolOf(route, request);
      using slot = await this.#admit(route, request, scope);
      context = {
        id,
        route,
        pool,
        priority: route.priority === Priority.TRAINING ? 'training' : 'caller',
        request,
        response,
        slot,
        scope,
        retryBudget: this.#budgets.budgetFor(route.name, route.retryBudgetFraction),
        gate: new AttemptGate(),
        span,
        triedAddresses: new Set(),
        mayHaveRun: false,
      };
      await this.#run(context);
      return 'answered';
    } catch (error) {
      const failedContext = context ?? { scope, mayHaveRun: false, route };
      if (!(error instanceof RequestError) && scope.endedBy === undefined) {
        this.#options.logger.error('request-error', { requestId: id, message: messageOf(error) });
      }
      return this.#sendFailure(id, route, response, toRequestFailure(error, failedContext), scope);
    }
  }

  #poolOf(route: ResolvedRoute, request: IncomingMessage): ResolvedPool {
    const pool = this.#options.tables.current()?.pools.get(route.pool);
    const isEngine = pool?.protocol === Protocol.MODEL_ENGINE;
    if (pool !== undefined && (!isEngine || ENGINE_PATHS.has(request.url ?? ''))) return pool;
    throw requestError(`pool ${route.pool} does not serve ${pathOf(request)} to callers`, {
      outcome: 'not-run',
      statusCode: 404,
      code: 'no-route',
    });
  }

  async #admit(
    route: ResolvedRoute,
    request: IncomingMessage,
    scope: RequestScope,
  ): Promise<WorkerSlot> {
    const { maxConcurrent, maxRequestsPerSecond } = route.limitPerCaller;
    const isLimited = maxConcurrent !== Infinity || maxRequestsPerSecond !== Infinity;
    try {
      return await this.#options.admission.admit({
        pool: route.pool,
        priority: route.priority === Priority.TRAINING ? 'training' : 'caller',
        maxWaitMs: Math.min(MAX_QUEUE_WAIT_MS, route.timeoutMs / 2),
        caller: isLimited
          ? {
              key: `${route.name}|${headerOf(request, CALLER_HEADER)}`,
              limit: route.limitPerCaller,
            }
          : undefined,
        signal: scope.signal,
      });
    } catch (error) {
      throw toRequestError(error);
    }
  }

  async #run(context: RequestContext): Promise<void> {
    const { request, pool, scope } = context;
    const { serviceHandler, generationHandler } = this.#options;
    if (pool.protocol === Protocol.MODEL_ENGINE && pathOf(request) === COMPLETIONS_PATH) {
      const bytes = await readFullBody(request, pool.maxBodyBytes, scope.signal);
      const completion = parseResumableCompletion(bytes);
      if (completion !== undefined) await generationHandler.handle(context, completion);
      else await serviceHandler.handle(context, { kind: 'buffered', bytes });
      return;
    }
    const body = await prepareBody(request, pool.maxBodyBytes, scope.signal);
    await serviceHandler.handle(context, body);
  }

  #sendFailure(
    requestId: string,
    route: ResolvedRoute,
    response: ServerResponse,
    failure: InstanceType<typeof RequestError>,
    scope: RequestScope,
  ): string {
    const { logger, clock } = this.#options;
    const { outcome, code, message } = failure;
    if (scope.endedBy === 'caller-gone') {
      logger.debug('caller-gone', { requestId, route: route.name });
      return 'caller-gone';
    }
    const fields = { requestId, route: route.name, outcome, code, message };
    // Logged at debug level, because an overload causes many refusals. Metrics count them.
    if (outcome === 'not-run') logger.debug('request-refused', fields);
    else logger.warn('request-failed', fields);
    sendProblem(response, message, failure);
    const lingerTimer = clock.schedule(LINGER_MS, () => response.destroy());
    response.once('close', () => lingerTimer[Symbol.dispose]());
    response.once('finish', () => lingerTimer[Symbol.dispose]());
    return outcome;
  }
}
