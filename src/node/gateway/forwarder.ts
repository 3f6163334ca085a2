import { type Clock, sleep, Stopwatch } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import { invariant } from '../../shared/invariants.ts';
import { readResponseBody, WorkerCallError } from '../dataPath/workerHttpClient.ts';
import { RetryBudgets } from '../decisions/retryBudgets.ts';
import type { WorkerResult } from '../decisions/passiveHealthCheck.ts';
import type { Logger } from '../observability/logger.ts';
import {
  HEDGE_DELAY_FRACTION,
  MAX_BUFFERED_RESPONSE_BYTES,
  MAX_REFUSALS,
  MIN_HEDGE_DELAY_MS,
  MIN_REMAINING_MS,
  REFUSAL_RETRY_DELAY_MS,
  RETRY_BUDGET_FRACTION,
} from './constants.ts';
import type { GatewayRoute } from './gatewayTables.ts';
import type { HeaderList, WorkerResponse, WorkerCalls, WorkerLoad } from './workerCalls.ts';
import type { LoadBalancer } from './loadBalancer.ts';
import type { RegisteredWorker } from './workerRegistry.ts';

/** A caller's request with its complete body. */
export interface ForwardedRequest {
  readonly id: string;
  readonly method: string;
  /** Path with query string. */
  readonly path: string;
  readonly host: string;
  readonly headers: HeaderList;
  readonly body: Buffer;
  /** Started when the request arrived. */
  readonly sinceArrival: Stopwatch;
  /** Time allowed by the caller and the route, counted from the arrival, in ms. */
  readonly budgetMs: number;
}

/** Outcome of a request. `not-run`: no worker has executed it or will execute it. */
export type ForwardOutcome =
  | {
      readonly kind: 'answer';
      readonly statusCode: number;
      readonly headers: HeaderList;
      readonly body: Buffer;
      readonly stamp: string | undefined;
      /** Number of workers that returned a 5xx response, including this response if it is one. */
      readonly failures: number;
    }
  | { readonly kind: 'not-run'; readonly reason: string }
  | { readonly kind: 'failed' | 'timeout'; readonly reason: string };

type ResponseOutcome = Extract<ForwardOutcome, { kind: 'answer' }>;

/** Result of one attempt. `mayHaveRun` is false only when the worker is known not to have executed the request. */
interface AttemptResult {
  readonly worker: RegisteredWorker;
  readonly response?: ResponseOutcome;
  readonly mayHaveRun: boolean;
  readonly reason: string;
}

export interface ForwarderOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly calls: WorkerCalls;
  readonly loadBalancer: LoadBalancer;
}

/** Whether a worker failed the request; an idempotent request is then retried on another worker. */
const is5xx = (statusCode: number): boolean => statusCode >= 500;

/** Delay before a hedged attempt is sent to a second worker, in ms. */
const hedgeDelayMs = ({ targetLatencyMs }: GatewayRoute): number =>
  Math.max(MIN_HEDGE_DELAY_MS, targetLatencyMs * HEDGE_DELAY_FRACTION);

/** Result to record for a worker whose attempt was aborted before it responded. */
const classifyAbortedAttempt = (
  elapsedMs: number,
  route: GatewayRoute,
): WorkerResult | 'abandoned' => {
  if (elapsedMs > route.targetLatencyMs) return 'silent';
  return elapsedMs > hedgeDelayMs(route) ? 'failed' : 'abandoned';
};

/** Reads the complete response and checks that it carries the worker's stamp. */
const readAttemptResult = async (
  worker: RegisteredWorker,
  response: WorkerResponse,
): Promise<AttemptResult> => {
  const body = await readResponseBody(response.body, MAX_BUFFERED_RESPONSE_BYTES);
  const { statusCode, headers, notRun, stamp } = response;
  if (notRun) return { worker, mayHaveRun: false, reason: `worker returned ${statusCode}` };
  const isSuccess = statusCode >= 200 && statusCode < 300;
  if (isSuccess && stamp === undefined) {
    throw new WorkerCallError('the response carries no worker stamp');
  }
  invariant(statusCode >= 200, 'final-status', { statusCode });
  return {
    worker,
    response: { kind: 'answer', statusCode, headers, body, stamp, failures: 0 },
    mayHaveRun: true,
    reason: `worker returned ${statusCode}`,
  };
};

/** Forwards requests to workers, with retries and hedging where the route allows them. */
export class Forwarder {
  readonly #options: ForwarderOptions;

  readonly #budgets = new RetryBudgets();

  constructor(options: ForwarderOptions) {
    this.#options = options;
  }

  /**
   * Forwards a request whose response is buffered before it is returned to the caller.
   *
   * @param signal - aborted when the caller disconnects
   */
  async forward(
    request: ForwardedRequest,
    route: GatewayRoute,
    signal: AbortSignal,
  ): Promise<ForwardOutcome> {
    const { clock, loadBalancer } = this.#options;
    const pool = loadBalancer.choosePool(route);
    if (pool === undefined) return { kind: 'not-run', reason: 'the route has no pool' };
    const abort = new AbortController();
    const cancel = () => abort.abort();
    signal.addEventListener('abort', cancel, { once: true });
    const timeLeftMs = request.budgetMs - request.sinceArrival.elapsedMs();
    const timer = clock.schedule(Math.max(0, timeLeftMs), cancel);
    try {
      const outcome =
        route.kind === 'idempotent'
          ? this.#forwardIdempotent(request, route, pool, abort.signal)
          : this.#forwardAtMostOnce(request, route, pool, abort.signal);
      return await outcome;
    } finally {
      timer[Symbol.dispose]();
      signal.removeEventListener('abort', cancel);
      abort.abort();
    }
  }

  /** Tries one worker at a time, and the next one only while no worker can have executed the request. */
  async #forwardAtMostOnce(
    request: ForwardedRequest,
    route: GatewayRoute,
    pool: string,
    signal: AbortSignal,
  ): Promise<ForwardOutcome> {
    const { clock } = this.#options;
    const tried = new Set<string>();
    let reason = 'no worker is available';
    for (let refusals = 0; refusals <= MAX_REFUSALS && !signal.aborted; refusals += 1) {
      const attempt = this.#attempt(request, route, {
        pool,
        tried,
        signal,
        newConnection: true,
      });
      if (attempt === undefined) return { kind: 'not-run', reason };
      const { response, mayHaveRun, reason: failureReason } = await attempt;
      if (response !== undefined) return response;
      if (mayHaveRun) {
        return { kind: signal.aborted ? 'timeout' : 'failed', reason: failureReason };
      }
      reason = failureReason;
      tried.clear();
      await sleep(clock, REFUSAL_RETRY_DELAY_MS, signal);
    }
    return { kind: 'not-run', reason };
  }

  /** Retries on further workers after failures and hedges a slow attempt. The first complete non-5xx response wins. */
  async #forwardIdempotent(
    request: ForwardedRequest,
    route: GatewayRoute,
    pool: string,
    signal: AbortSignal,
  ): Promise<ForwardOutcome> {
    const { clock } = this.#options;
    const budget = this.#budgets.budgetFor(route.name, RETRY_BUDGET_FRACTION);
    budget.recordFirstAttempt();
    const tried = new Set<string>();
    const running = new Set<Promise<AttemptResult>>();
    let attempts = 0;
    let refusals = 0;
    let failures = 0;
    let lastFailure: ResponseOutcome | undefined;
    let reason = 'no worker is available';
    const startAttempt = (newConnection: boolean): boolean => {
      const attempt = this.#attempt(request, route, { pool, tried, signal, newConnection });
      if (attempt === undefined) return false;
      attempts += 1;
      running.add(attempt);
      void attempt.finally(() => running.delete(attempt));
      return true;
    };
    startAttempt(false);
    const hedgeAfterMs = hedgeDelayMs(route);
    while (running.size > 0) {
      const mayHedge = attempts < route.maxAttempts && running.size === 1;
      const result = await this.#firstResultOf(running, mayHedge ? hedgeAfterMs : Infinity);
      if (result === undefined) {
        if (signal.aborted) break;
        if (!budget.tryTake() || !startAttempt(false)) attempts = route.maxAttempts;
        continue;
      }
      const { response, mayHaveRun } = result;
      if (response !== undefined && !is5xx(response.statusCode)) return { ...response, failures };
      if (response !== undefined) {
        failures += 1;
        lastFailure = { ...response, failures };
      }
      reason = result.reason;
      if (signal.aborted) break;
      if (!mayHaveRun) {
        attempts -= 1;
        refusals += 1;
        tried.delete(result.worker.id);
        if (refusals > MAX_REFUSALS) continue;
        await sleep(clock, REFUSAL_RETRY_DELAY_MS, signal);
        if (!signal.aborted) startAttempt(false);
      } else if (attempts < route.maxAttempts && budget.tryTake()) {
        // The worker may have closed a kept-alive connection; a new one rules that out for the next attempt.
        startAttempt(true);
      }
    }
    if (lastFailure !== undefined) return lastFailure;
    if (signal.aborted) return { kind: 'timeout', reason: 'no worker responded in time' };
    return attempts === 0 ? { kind: 'not-run', reason } : { kind: 'failed', reason };
  }

  /** Result of the first attempt to finish within `limitMs`; undefined when none does. */
  #firstResultOf(running: ReadonlySet<Promise<AttemptResult>>, limitMs: number) {
    if (limitMs === Infinity) return Promise.race(running);
    let timer: Disposable | undefined;
    const limit = new Promise<undefined>((resolve) => {
      timer = this.#options.clock.schedule(limitMs, () => resolve(undefined));
    });
    return Promise.race([...running, limit]).finally(() => timer?.[Symbol.dispose]());
  }

  /** Sends the request to one worker; undefined when too little time is left or no worker is available. */
  #attempt(
    request: ForwardedRequest,
    route: GatewayRoute,
    options: {
      readonly pool: string;
      readonly tried: Set<string>;
      readonly signal: AbortSignal;
      readonly newConnection: boolean;
    },
  ): Promise<AttemptResult> | undefined {
    const remainingMs = request.budgetMs - request.sinceArrival.elapsedMs();
    if (remainingMs < MIN_REMAINING_MS) return undefined;
    const { pool, tried, signal, newConnection } = options;
    const worker = this.#options.loadBalancer.acquire(pool, tried, tried.size < route.maxAttempts);
    if (worker === undefined) return undefined;
    tried.add(worker.id);
    return this.#runAttempt(worker, request, route, { signal, newConnection, remainingMs });
  }

  async #runAttempt(
    worker: RegisteredWorker,
    request: ForwardedRequest,
    route: GatewayRoute,
    options: {
      readonly signal: AbortSignal;
      readonly newConnection: boolean;
      readonly remainingMs: number;
    },
  ): Promise<AttemptResult> {
    const { clock, calls, loadBalancer, logger } = this.#options;
    const { signal, newConnection, remainingMs } = options;
    const { id: requestId, method, path, host, headers, body } = request;
    const started = new Stopwatch(clock);
    let result: WorkerResult | 'abandoned' = 'failed';
    let load: WorkerLoad | undefined;
    let attemptResult: AttemptResult;
    try {
      const message = { requestId, method, path, host, headers, body, remainingMs, newConnection };
      const response = await calls.send(worker, message, signal);
      ({ load } = response);
      attemptResult = await readAttemptResult(worker, response);
      if (response.notRun) result = 'refused';
      else if (!is5xx(response.statusCode)) result = 'answered';
    } catch (error) {
      const notConnected = error instanceof WorkerCallError && error.notConnected;
      attemptResult = { worker, mayHaveRun: !notConnected, reason: messageOf(error) };
      if (signal.aborted) result = classifyAbortedAttempt(started.elapsedMs(), route);
    }
    loadBalancer.release(worker.id, result, load);
    logger.info('worker-attempt', {
      request: requestId,
      route: route.name,
      worker: worker.id,
      remainingMs: Math.round(remainingMs),
      tookMs: Math.round(started.elapsedMs()),
      status: attemptResult.response?.statusCode,
      result,
      reason: attemptResult.response === undefined ? attemptResult.reason : undefined,
    });
    return attemptResult;
  }
}
