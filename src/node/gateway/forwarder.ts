import { type Clock, sleep } from '../../shared/clock.ts';
import { RetryBudgets } from '../decisions/retryBudgets.ts';
import type { WorkerResult } from '../decisions/passiveHealthCheck.ts';
import {
  HEDGE_DELAY_FRACTION,
  MAX_REFUSALS,
  MIN_HEDGE_DELAY_MS,
  REFUSAL_RETRY_DELAY_MS,
  REQUEST_FAILED_STATUS,
  RETRY_BUDGET_FRACTION,
} from './constants.ts';
import type { AdmissionGate } from './admissionGate.ts';
import type { ForwardedRequest, ForwardOutcome, ResponseOutcome } from './forwardedRequest.ts';
import type { GatewayRoute } from './gatewayTables.ts';
import type { LoadBalancer } from './loadBalancer.ts';
import { withPlace } from './withPlace.ts';
import { withinBudget } from './withinBudget.ts';
import {
  type AttemptOptions,
  type AttemptResult,
  is5xx,
  type WorkerAttempts,
} from './workerAttempts.ts';

export interface ForwarderOptions {
  readonly clock: Clock;
  readonly attempts: WorkerAttempts;
  readonly loadBalancer: LoadBalancer;
  /** @default each request is sent at once */
  readonly admission?: Pick<AdmissionGate, 'admit'>;
}

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
    const { clock, loadBalancer, admission } = this.#options;
    const pool = loadBalancer.choosePool(route);
    if (pool === undefined) return { kind: 'not-run', reason: 'the route has no pool' };
    return withinBudget(clock, request, signal, (attemptsSignal) =>
      withPlace(admission, { request, route, pool, signal: attemptsSignal }, () =>
        route.kind === 'idempotent'
          ? this.#forwardIdempotent(request, route, pool, attemptsSignal)
          : this.#forwardAtMostOnce(request, route, pool, attemptsSignal),
      ),
    );
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
      const result = await attempt;
      const { response, mayHaveRun, reason: failureReason, retryAfterMs } = result;
      if (result.condemned) return { kind: 'failed', reason: failureReason };
      if (retryAfterMs !== undefined) {
        return { kind: 'not-run', reason: failureReason, retryAfterMs };
      }
      if (response !== undefined) {
        const failed = response.statusCode === REQUEST_FAILED_STATUS;
        return { ...response, failures: failed ? 1 : 0 };
      }
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
    let retryAfterMs: number | undefined;
    const startAttempt = (newConnection: boolean, optional = false): boolean => {
      const options = { pool, tried, signal, newConnection, optional };
      const attempt = this.#attempt(request, route, options);
      if (attempt === undefined) return false;
      attempts += 1;
      running.add(attempt);
      void attempt.finally(() => running.delete(attempt));
      return true;
    };
    startAttempt(false);
    const hedgeAfterMs = hedgeDelayMs(route);
    let hedgesLeft = true;
    while (running.size > 0) {
      const mayHedge = hedgesLeft && attempts < route.maxAttempts && running.size === 1;
      const result = await this.#firstResultOf(running, mayHedge ? hedgeAfterMs : Infinity);
      if (result === undefined) {
        if (signal.aborted) break;
        hedgesLeft = budget.tryTake() && startAttempt(false, true);
        continue;
      }
      const { response, mayHaveRun } = result;
      if (result.condemned) return { kind: 'failed', reason: result.reason };
      if (response !== undefined && !is5xx(response.statusCode)) return { ...response, failures };
      if (response !== undefined) {
        if (response.statusCode === REQUEST_FAILED_STATUS) failures += 1;
        lastFailure = { ...response, failures };
      }
      reason = result.reason;
      if (signal.aborted) break;
      if (result.retryAfterMs !== undefined) {
        attempts -= 1;
        retryAfterMs = result.retryAfterMs;
      } else if (!mayHaveRun) {
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
    return attempts === 0 ? { kind: 'not-run', reason, retryAfterMs } : { kind: 'failed', reason };
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

  #attempt(
    request: ForwardedRequest,
    route: GatewayRoute,
    options: Pick<AttemptOptions, 'pool' | 'tried' | 'signal' | 'newConnection' | 'optional'>,
  ): Promise<AttemptResult> | undefined {
    return this.#options.attempts.start(request, route, {
      ...options,
      read: this.#options.attempts.readResponse,
      classifyAborted: (elapsedMs) => classifyAbortedAttempt(elapsedMs, route),
    });
  }
}
