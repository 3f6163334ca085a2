import { type Clock, sleep, Stopwatch } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import { WorkerCallError } from '../dataPath/workerHttpClient.ts';
import { priorityOf } from '../decisions/accounts/mostUrgentPriority.ts';
import type { WorkerResult } from '../decisions/passiveHealthCheck.ts';
import type { RequestLimits } from '../decisions/requestLimits.ts';
import type { RequestPermits } from '../limits/requestPermits.ts';
import type { Logger } from '../observability/logger.ts';
import { MIN_REMAINING_MS, REQUEST_FAILED_STATUS } from './constants.ts';
import type { ForwardedRequest, ResponseOutcome } from './forwardedRequest.ts';
import type { GatewayRoute } from './gatewayTables.ts';
import type { LoadBalancer } from './loadBalancer.ts';
import { survivalMs } from '../decisions/poisonRequests/survival.ts';
import { MIN_ENDS_TO_RUN_ALONE } from '../decisions/poisonRequests/trialWindows.ts';
import { MAX_TRIAL_MS, type PoisonGuard } from '../poison/poisonGuard.ts';
import { createResponseReader } from './readResponse.ts';
import { isEventStream } from './streamRelay.ts';
import type { UsageCounter } from '../usage/usageCounter.ts';
import type { ResponseMemory } from '../dataPath/responseMemory.ts';
import type { WorkerCalls, WorkerLoad, WorkerResponse } from './workerCalls.ts';
import type { RegisteredWorker } from './workerRegistry.ts';

/** Result of one attempt. */
export interface AttemptResult {
  readonly worker: Pick<RegisteredWorker, 'id'>;
  /** The complete response; absent when there is none, or when its body was streamed to the caller. */
  readonly response?: ResponseOutcome;
  /**
   * Status of a complete response that is not passed on, because callers would take it as the promise that the request has not
   * run.
   */
  readonly withheldStatus?: number;
  /** Whether the complete body was streamed to the caller. */
  readonly streamed?: boolean;
  /** False only when the worker is known not to have executed the request. */
  readonly mayHaveRun: boolean;
  readonly reason: string;
  /** Set when the request limits of the workers left no room for the request: when there is some, in ms. */
  readonly retryAfterMs?: number;
  /** Whether the request was not sent because workers ended under it. @default false */
  readonly condemned?: boolean;
}

/**
 * Consumes the body of a worker's response. Throws when it is not complete or not usable.
 *
 * @param onEvent - to be called for each event of a stream
 */
export type ResponseReader = (
  worker: RegisteredWorker,
  response: WorkerResponse,
  onEvent: () => void,
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
  /** Whether the attempt only saves time, so that it may not use up the request limit of a worker. @default false */
  readonly optional?: boolean;
  /** Whether this is the only suspected request that this node runs on the worker. @default false */
  readonly trial?: boolean;
  readonly read: ResponseReader;
  readonly classifyAborted: AbortClassifier;
}

export interface WorkerAttemptsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly calls: WorkerCalls;
  readonly loadBalancer: LoadBalancer;
  readonly limits: Pick<RequestLimits, 'of'>;
  readonly permits: Pick<RequestPermits, 'obtain'>;
  readonly poison: PoisonGuard;
  /** Whether no other request for the pool can be more urgent. Only such requests wait for a permit. */
  readonly isMostUrgent: (priority: number, pool: string) => boolean;
  /** Counts the requests of client accounts that workers began to run. @default they are not counted */
  readonly usage?: Pick<UsageCounter, 'startAttempt'>;
  /** Memory of the responses that are read. @default a limit of its own */
  readonly responseMemory?: ResponseMemory;
}

/** Part of the remaining time budget that a request may wait for a permit. */
const MAX_PERMIT_WAIT_SHARE = 1 / 3;

/** Whether the worker has answered completely. */
const isAnswered = ({ response, withheldStatus }: AttemptResult): boolean =>
  response !== undefined || withheldStatus !== undefined;

/** Whether a worker failed the request. */
export const is5xx = (statusCode: number): boolean => statusCode >= 500;

/**
 * Whether a worker's response shows that it has survived the request. A worker that gives a request up early, such as at the
 * caller's time budget, may do so before the request would have ended it.
 */
const showsSurvival = (statusCode: number, tookMs: number): boolean =>
  statusCode <= REQUEST_FAILED_STATUS || tookMs >= survivalMs(Infinity);

/** Sends requests to workers one attempt at a time, and records how the worker did. */
export class WorkerAttempts {
  /** Reads complete responses. All forwarders of a node share its limit on the bytes in memory. */
  readonly readResponse: ResponseReader;

  readonly #options: WorkerAttemptsOptions;

  constructor(options: WorkerAttemptsOptions) {
    this.#options = options;
    this.readResponse = createResponseReader(options.responseMemory);
  }

  /** Sends the request to one worker; undefined when too little time is left or no worker is available. */
  start(
    request: ForwardedRequest,
    route: GatewayRoute,
    options: AttemptOptions,
  ): Promise<AttemptResult> | undefined {
    const verdict = this.#options.poison.verdictOf(request);
    if (verdict === 'unsuspected') return this.#start(request, route, options);
    if (verdict === 'suspected' && options.optional) return undefined;
    return this.#startTrial(request, route, options);
  }

  /** Sends a suspected request to a worker without another one, unless it is condemned by then. */
  async #startTrial(
    request: ForwardedRequest,
    route: GatewayRoute,
    options: AttemptOptions,
  ): Promise<AttemptResult> {
    const { poison, logger, loadBalancer } = this.#options;
    const workerCount = loadBalancer.candidates(options.pool, new Set(), true).length;
    const notSent = { worker: { id: '' }, mayHaveRun: false };
    await poison.judged(request);
    using slot =
      poison.verdictOf(request) === 'condemned'
        ? undefined
        : await poison.startTrial(request, options.pool, workerCount, options.signal);
    const verdict = poison.verdictOf(request);
    if (verdict === 'condemned') {
      const ends = poison.endsOf(request);
      logger.warn('request-condemned', { request: request.id, route: route.name, ends });
      return {
        ...notSent,
        condemned: true,
        reason: `${ends} workers ended while they ran this request, so it is sent to no other one`,
      };
    }
    if (slot === undefined) return { ...notSent, reason: 'the request waited for a trial in vain' };
    const trial = verdict === 'suspected';
    const result = await this.#start(request, route, { ...options, trial });
    if (result !== undefined && isAnswered(result)) slot.pass();
    return result ?? { ...notSent, reason: 'no worker is available for a trial' };
  }

  #start(
    request: ForwardedRequest,
    route: GatewayRoute,
    options: AttemptOptions,
  ): Promise<AttemptResult> | undefined {
    const remainingMs = request.budgetMs - request.sinceArrival.elapsedMs();
    if (remainingMs < MIN_REMAINING_MS) return undefined;
    const { loadBalancer, limits } = this.#options;
    const { pool, tried, optional = false, trial = false } = options;
    const avoided = trial ? new Set([...tried, ...this.#withoutTrialRoom(request, pool)]) : tried;
    const candidates = loadBalancer.candidates(pool, avoided, tried.size < route.maxAttempts);
    const free = candidates.filter(({ id }) => limits.of(id) === undefined);
    const worker = loadBalancer.choose(optional ? free : candidates, route);
    if (worker === undefined) return undefined;
    if (limits.of(worker.id) === undefined) {
      return this.#run(worker, request, route, options, remainingMs);
    }
    const limited = candidates.filter(({ id }) => limits.of(id) !== undefined);
    return this.#runWithPermit({ free, limited }, request, route, options);
  }

  /** Workers where no other trial may start now. One that has failed before starts only where no other is young. */
  #withoutTrialRoom(request: ForwardedRequest, pool: string): string[] {
    const { loadBalancer, poison } = this.#options;
    const isStrong = poison.endsOf(request) >= MIN_ENDS_TO_RUN_ALONE;
    return loadBalancer
      .candidates(pool, new Set(), true)
      .map(({ id }) => id)
      .filter((id) => (isStrong ? poison.windows.hasYoungAt(id) : poison.windows.roomAt(id) === 0));
  }

  /** Sends the request to a worker with a request limit, if that leaves room for it in time, or else to another one. */
  async #runWithPermit(
    { free, limited }: Record<'free' | 'limited', readonly RegisteredWorker[]>,
    request: ForwardedRequest,
    route: GatewayRoute,
    options: AttemptOptions,
  ): Promise<AttemptResult> {
    const { clock, loadBalancer, limits, permits, isMostUrgent, logger } = this.#options;
    const { pool, signal } = options;
    const remainingMs = () => request.budgetMs - request.sinceArrival.elapsedMs();
    const mayWait = free.length === 0 && isMostUrgent(priorityOf(request.account, route), pool);
    const maxDelayMs = mayWait ? remainingMs() * MAX_PERMIT_WAIT_SHARE : 0;
    const grant = await permits.obtain({ pool, workers: limited, maxDelayMs });
    const [permit] = grant.permits;
    if (permit !== undefined && permit.delayMs > 0) await sleep(clock, permit.delayMs, signal);
    // Workers may have begun to leave, or to name a limit, since the permit was asked for.
    const usable = new Set(loadBalancer.candidates(pool, new Set(), true).map(({ id }) => id));
    const worker =
      limited.find(({ id }) => id === permit?.worker && usable.has(id)) ??
      loadBalancer.choose(
        free.filter(({ id }) => usable.has(id) && limits.of(id) === undefined),
        route,
      );
    if (worker !== undefined && !signal.aborted && remainingMs() >= MIN_REMAINING_MS) {
      return this.#run(worker, request, route, options, remainingMs());
    }
    const retryAfterMs = permit === undefined ? grant.retryAfterMs : undefined;
    logger.info('request-limited', {
      request: request.id,
      route: route.name,
      pool,
      limitedWorkers: limited.length,
      issuer: grant.issuer,
      waitedMs: permit?.delayMs,
      retryAfterMs,
      remainingMs: Math.round(remainingMs()),
    });
    return {
      ...{ worker: { id: '' }, mayHaveRun: false, retryAfterMs },
      reason: 'the request limits of the workers leave no room for the request in time',
    };
  }

  async #run(
    worker: RegisteredWorker,
    request: ForwardedRequest,
    route: GatewayRoute,
    options: AttemptOptions,
    remainingMs: number,
  ): Promise<AttemptResult> {
    const { clock, calls, loadBalancer, limits, logger, poison, usage } = this.#options;
    const { pool, tried, signal, newConnection, resumeAfter, read, classifyAborted } = options;
    const limitPerSecond = limits.of(worker.id);
    const { id: requestId, method, path, host, headers, body } = request;
    const started = new Stopwatch(clock);
    using counted = usage?.startAttempt(request, route.name);
    tried.add(worker.id);
    const trial = options.trial ? poison.windows.start(worker.id) : undefined;
    const endTrial = (hasPassed: boolean) => {
      if (trial !== undefined) poison.windows[hasPassed ? 'pass' : 'end'](worker.id, trial);
    };
    const passTimer = clock.schedule(MAX_TRIAL_MS, () => endTrial(true));
    const placement = loadBalancer.begin(worker.id, route);
    let result: WorkerResult | 'abandoned' = 'failed';
    let load: WorkerLoad | undefined;
    let isBroken = false;
    let sinceBegun: Stopwatch | undefined;
    let attemptResult: AttemptResult;
    try {
      const account = request.account?.name;
      const message = { requestId, method, path, host, headers, body, account, remainingMs };
      const response = await calls.send(worker, { ...message, newConnection, resumeAfter }, signal);
      ({ load } = response);
      const began = () => {
        sinceBegun ??= new Stopwatch(clock);
        counted?.began(response.load?.waiting);
      };
      // A stream counts with its first event.
      if (!response.notRun && !isEventStream(response)) began();
      attemptResult = await read(worker, response, began);
      if (!response.notRun && isAnswered(attemptResult)) began();
      const isFailure = is5xx(response.statusCode) || attemptResult.withheldStatus !== undefined;
      if (response.notRun) result = 'refused';
      else if (!isFailure) result = 'answered';
      if (!response.notRun && showsSurvival(response.statusCode, started.elapsedMs())) {
        poison.recordAnswer(request);
      }
    } catch (error) {
      const notConnected = error instanceof WorkerCallError && error.notConnected;
      attemptResult = { worker, mayHaveRun: !notConnected, reason: messageOf(error) };
      if (signal.aborted) result = classifyAborted(started.elapsedMs());
      else isBroken = !notConnected;
    }
    loadBalancer.release(placement, result, load);
    if (isBroken) {
      const others = loadBalancer.inFlightOn(worker.id);
      // A worker that had generated a part of the response for some time did not end because the request had started.
      const hasSurvived = (sinceBegun?.elapsedMs() ?? 0) > survivalMs(0);
      const isTrial = !hasSurvived && (trial?.isAlone ?? false);
      const startedMs = clock.monotonicMs() - started.elapsedMs();
      await poison.recordBroken({ request, worker, pool, trial: isTrial, startedMs, others });
    }
    passTimer[Symbol.dispose]();
    endTrial(isAnswered(attemptResult));
    logger.info('worker-attempt', {
      request: requestId,
      route: route.name,
      worker: worker.id,
      remainingMs: Math.round(remainingMs),
      tookMs: Math.round(started.elapsedMs()),
      status: attemptResult.response?.statusCode ?? attemptResult.withheldStatus,
      resumeAfter,
      limitPerSecond,
      ...placement.known,
      result,
      reason: attemptResult.response === undefined ? attemptResult.reason : undefined,
    });
    return attemptResult;
  }
}
