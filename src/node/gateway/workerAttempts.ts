import { type Clock, Stopwatch } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import { WorkerCallError } from '../dataPath/workerHttpClient.ts';
import type { WorkerResult } from '../decisions/passiveHealthCheck.ts';
import type { RequestLimits } from '../decisions/requestLimits.ts';
import type { Logger } from '../observability/logger.ts';
import { MIN_REMAINING_MS } from './constants.ts';
import type { ForwardedRequest, ResponseOutcome } from './forwardedRequest.ts';
import type { GatewayRoute } from './gatewayTables.ts';
import type { LoadBalancer } from './loadBalancer.ts';
import { createResponseReader } from './readResponse.ts';
import type { WorkerCalls, WorkerLoad, WorkerResponse } from './workerCalls.ts';
import type { RegisteredWorker } from './workerRegistry.ts';

/** Result of one attempt. */
export interface AttemptResult {
  readonly worker: RegisteredWorker;
  /** The complete response; absent when there is none, or when its body was streamed to the caller. */
  readonly response?: ResponseOutcome;
  /** Whether the complete body was streamed to the caller. */
  readonly streamed?: boolean;
  /** False only when the worker is known not to have executed the request. */
  readonly mayHaveRun: boolean;
  readonly reason: string;
}

/** Consumes the body of a worker's response. Throws when it is not complete or not usable. */
export type ResponseReader = (
  worker: RegisteredWorker,
  response: WorkerResponse,
) => Promise<AttemptResult>;

/** What a worker is recorded to have done when its attempt was aborted before it was complete. */
export type AbortClassifier = (elapsedMs: number) => WorkerResult | 'abandoned';

export interface AttemptOptions {
  readonly pool: string;
  /** Ids of the workers that were tried for this request. The chosen worker is added. */
  readonly tried: Set<string>;
  readonly signal: AbortSignal;
  /** Opens a new connection instead of reusing a kept-alive one. */
  readonly newConnection: boolean;
  /** Number of the last event received; the worker resumes the stream after it. */
  readonly resumeAfter?: number;
  readonly read: ResponseReader;
  readonly classifyAborted: AbortClassifier;
}

export interface WorkerAttemptsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly calls: WorkerCalls;
  readonly loadBalancer: LoadBalancer;
  readonly limits: Pick<RequestLimits, 'of'>;
}

/** Whether a worker failed the request. */
export const is5xx = (statusCode: number): boolean => statusCode >= 500;

/** Sends requests to workers one attempt at a time, and records how the worker did. */
export class WorkerAttempts {
  /** Reads complete responses. All forwarders of a node share its limit on the bytes in memory. */
  readonly readResponse = createResponseReader();

  readonly #options: WorkerAttemptsOptions;

  constructor(options: WorkerAttemptsOptions) {
    this.#options = options;
  }

  /** Sends the request to one worker; undefined when too little time is left or no worker is available. */
  start(
    request: ForwardedRequest,
    route: GatewayRoute,
    options: AttemptOptions,
  ): Promise<AttemptResult> | undefined {
    const remainingMs = request.budgetMs - request.sinceArrival.elapsedMs();
    if (remainingMs < MIN_REMAINING_MS) return undefined;
    const { pool, tried } = options;
    const worker = this.#options.loadBalancer.acquire(pool, tried, tried.size < route.maxAttempts);
    if (worker === undefined) return undefined;
    tried.add(worker.id);
    return this.#run(worker, request, route, options, remainingMs);
  }

  async #run(
    worker: RegisteredWorker,
    request: ForwardedRequest,
    route: GatewayRoute,
    { signal, newConnection, resumeAfter, read, classifyAborted }: AttemptOptions,
    remainingMs: number,
  ): Promise<AttemptResult> {
    const { clock, calls, loadBalancer, limits, logger } = this.#options;
    const limitPerSecond = limits.of(worker.id);
    const { id: requestId, method, path, host, headers, body } = request;
    const started = new Stopwatch(clock);
    let result: WorkerResult | 'abandoned' = 'failed';
    let load: WorkerLoad | undefined;
    let attemptResult: AttemptResult;
    try {
      const message = { requestId, method, path, host, headers, body, remainingMs };
      const response = await calls.send(worker, { ...message, newConnection, resumeAfter }, signal);
      ({ load } = response);
      attemptResult = await read(worker, response);
      if (response.notRun) result = 'refused';
      else if (!is5xx(response.statusCode)) result = 'answered';
    } catch (error) {
      const notConnected = error instanceof WorkerCallError && error.notConnected;
      attemptResult = { worker, mayHaveRun: !notConnected, reason: messageOf(error) };
      if (signal.aborted) result = classifyAborted(started.elapsedMs());
    }
    loadBalancer.release(worker.id, result, load);
    logger.info('worker-attempt', {
      request: requestId,
      route: route.name,
      worker: worker.id,
      remainingMs: Math.round(remainingMs),
      tookMs: Math.round(started.elapsedMs()),
      status: attemptResult.response?.statusCode,
      resumeAfter,
      limitPerSecond,
      result,
      reason: attemptResult.response === undefined ? attemptResult.reason : undefined,
    });
    return attemptResult;
  }
}
