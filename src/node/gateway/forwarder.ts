import { type Clock, sleep, Stopwatch } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import { invariant } from '../../shared/invariants.ts';
import { readAnswer, WorkerCallError } from '../dataPath/workerHttp.ts';
import { RetryBudgets } from '../decisions/retryBudgets.ts';
import type { WorkerResult } from '../decisions/workerTrust.ts';
import type { Logger } from '../observability/logger.ts';
import {
  HEDGE_TARGET_SHARE,
  MAX_HELD_ANSWER_BYTES,
  MAX_REFUSALS,
  MIN_HEDGE_DELAY_MS,
  MIN_REMAINING_MS,
  REFUSAL_PAUSE_MS,
  RETRY_FRACTION,
} from './constants.ts';
import type { GatewayRoute } from './gatewayTables.ts';
import type { HeaderList, WorkerAnswer, WorkerCalls, WorkerLoad } from './workerCalls.ts';
import type { WorkerChooser } from './workerChooser.ts';
import type { RegisteredWorker } from './workerRegistry.ts';

/** A caller's request, whole. */
export interface ForwardedRequest {
  readonly id: string;
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly host: string;
  readonly headers: HeaderList;
  readonly body: Buffer;
  /** Started when the request arrived. */
  readonly arrived: Stopwatch;
  /** Time from the arrival that the caller and the route allow, in ms. */
  readonly budgetMs: number;
}

/** What became of a request. `not-run`: no worker ran it and none will. */
export type ForwardOutcome =
  | {
      readonly kind: 'answer';
      readonly statusCode: number;
      readonly headers: HeaderList;
      readonly body: Buffer;
      readonly stamp: string | undefined;
      /** Workers that answered with a failure, this answer included. */
      readonly failures: number;
    }
  | { readonly kind: 'not-run'; readonly reason: string }
  | { readonly kind: 'failed' | 'timeout'; readonly reason: string };

type Answered = Extract<ForwardOutcome, { kind: 'answer' }>;

/** How one attempt ended. `mayHaveRun` is false only when it certainly did not run. */
interface AttemptEnd {
  readonly worker: RegisteredWorker;
  readonly answer?: Answered;
  readonly mayHaveRun: boolean;
  readonly reason: string;
}

export interface ForwarderOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly calls: WorkerCalls;
  readonly chooser: WorkerChooser;
}

/** Answers of workers that fail a request: it may be tried elsewhere when it may run again. */
const isFailure = (statusCode: number): boolean => statusCode >= 500;

/** Time after which a second worker is tried beside a first one, in ms. */
const hedgeDelayMs = ({ targetLatencyMs }: GatewayRoute): number =>
  Math.max(MIN_HEDGE_DELAY_MS, targetLatencyMs * HEDGE_TARGET_SHARE);

/** What an attempt that was ended before an answer says of its worker. */
const judgeAbandoned = (elapsedMs: number, route: GatewayRoute): WorkerResult | 'abandoned' => {
  if (elapsedMs > route.targetLatencyMs) return 'silent';
  return elapsedMs > hedgeDelayMs(route) ? 'failed' : 'abandoned';
};

/** Reads an answer whole and checks that it is its worker's. */
const readEnd = async (worker: RegisteredWorker, answer: WorkerAnswer): Promise<AttemptEnd> => {
  const body = await readAnswer(answer.body, MAX_HELD_ANSWER_BYTES);
  const { statusCode, headers, notRun, stamp } = answer;
  if (notRun) return { worker, mayHaveRun: false, reason: `worker answered ${statusCode}` };
  const isSuccess = statusCode >= 200 && statusCode < 300;
  if (isSuccess && stamp === undefined) {
    throw new WorkerCallError('the answer bears no proof of its worker');
  }
  invariant(statusCode >= 200, 'final-status', { statusCode });
  return {
    worker,
    answer: { kind: 'answer', statusCode, headers, body, stamp, failures: 0 },
    mayHaveRun: true,
    reason: `worker answered ${statusCode}`,
  };
};

/** Sends requests to workers and decides whether a request may be sent again. */
export class Forwarder {
  readonly #options: ForwarderOptions;

  readonly #budgets = new RetryBudgets();

  constructor(options: ForwarderOptions) {
    this.#options = options;
  }

  /**
   * Forwards a request whose answer is passed on whole.
   *
   * @param signal - aborted when the caller has gone
   */
  async forward(
    request: ForwardedRequest,
    route: GatewayRoute,
    signal: AbortSignal,
  ): Promise<ForwardOutcome> {
    const { clock, chooser } = this.#options;
    const pool = chooser.choosePool(route);
    if (pool === undefined) return { kind: 'not-run', reason: 'the route names no pool' };
    const abort = new AbortController();
    const end = () => abort.abort();
    signal.addEventListener('abort', end, { once: true });
    const leftMs = request.budgetMs - request.arrived.elapsedMs();
    const timer = clock.schedule(Math.max(0, leftMs), end);
    try {
      const run =
        route.kind === 'idempotent'
          ? this.#repeatable(request, route, pool, abort.signal)
          : this.#once(request, route, pool, abort.signal);
      return await run;
    } finally {
      timer[Symbol.dispose]();
      signal.removeEventListener('abort', end);
      abort.abort();
    }
  }

  /** One worker at a time; the next one only while no worker can have run the request. */
  async #once(
    request: ForwardedRequest,
    route: GatewayRoute,
    pool: string,
    signal: AbortSignal,
  ): Promise<ForwardOutcome> {
    const { clock } = this.#options;
    const tried = new Set<string>();
    let reason = 'no worker takes requests';
    for (let refusals = 0; refusals <= MAX_REFUSALS && !signal.aborted; refusals += 1) {
      const ended = this.#attempt(request, route, { pool, tried, signal, newConnection: true });
      if (ended === undefined) return { kind: 'not-run', reason };
      const { answer, mayHaveRun, reason: ending } = await ended;
      if (answer !== undefined) return answer;
      if (mayHaveRun) {
        return { kind: signal.aborted ? 'timeout' : 'failed', reason: ending };
      }
      reason = ending;
      tried.clear();
      await sleep(clock, REFUSAL_PAUSE_MS, signal);
    }
    return { kind: 'not-run', reason };
  }

  /** Tries further workers after failures, and a second one beside a slow one. The first whole answer counts. */
  async #repeatable(
    request: ForwardedRequest,
    route: GatewayRoute,
    pool: string,
    signal: AbortSignal,
  ): Promise<ForwardOutcome> {
    const { clock } = this.#options;
    const budget = this.#budgets.of(route.name, RETRY_FRACTION);
    budget.recordFirstAttempt();
    const tried = new Set<string>();
    const running = new Set<Promise<AttemptEnd>>();
    let ran = 0;
    let refusals = 0;
    let failures = 0;
    let lastFailure: Answered | undefined;
    let reason = 'no worker takes requests';
    const begin = (newConnection: boolean): boolean => {
      const ended = this.#attempt(request, route, { pool, tried, signal, newConnection });
      if (ended === undefined) return false;
      ran += 1;
      running.add(ended);
      void ended.finally(() => running.delete(ended));
      return true;
    };
    begin(false);
    const hedgeMs = hedgeDelayMs(route);
    while (running.size > 0) {
      const mayHedge = ran < route.maxAttempts && running.size === 1;
      const ended = await this.#firstOf(running, mayHedge ? hedgeMs : Infinity);
      if (ended === undefined) {
        if (signal.aborted) break;
        if (!budget.tryTake() || !begin(false)) ran = route.maxAttempts;
        continue;
      }
      const { answer, mayHaveRun } = ended;
      if (answer !== undefined && !isFailure(answer.statusCode)) return { ...answer, failures };
      if (answer !== undefined) {
        failures += 1;
        lastFailure = { ...answer, failures };
      }
      reason = ended.reason;
      if (signal.aborted) break;
      if (!mayHaveRun) {
        ran -= 1;
        refusals += 1;
        tried.delete(ended.worker.id);
        if (refusals > MAX_REFUSALS) continue;
        await sleep(clock, REFUSAL_PAUSE_MS, signal);
        if (!signal.aborted) begin(false);
      } else if (ran < route.maxAttempts && budget.tryTake()) {
        // A kept connection may have been closed by the worker; the next attempt must not meet that again.
        begin(true);
      }
    }
    if (lastFailure !== undefined) return lastFailure;
    if (signal.aborted) return { kind: 'timeout', reason: 'no worker answered in time' };
    return ran === 0 ? { kind: 'not-run', reason } : { kind: 'failed', reason };
  }

  /** The end of the first attempt that ends within `limitMs`; undefined: none does. */
  #firstOf(running: ReadonlySet<Promise<AttemptEnd>>, limitMs: number) {
    if (limitMs === Infinity) return Promise.race(running);
    let timer: Disposable | undefined;
    const limit = new Promise<undefined>((resolve) => {
      timer = this.#options.clock.schedule(limitMs, () => resolve(undefined));
    });
    return Promise.race([...running, limit]).finally(() => timer?.[Symbol.dispose]());
  }

  /** Sends the request to one worker; undefined: there is none to send it to. */
  #attempt(
    request: ForwardedRequest,
    route: GatewayRoute,
    options: {
      readonly pool: string;
      readonly tried: Set<string>;
      readonly signal: AbortSignal;
      readonly newConnection: boolean;
    },
  ): Promise<AttemptEnd> | undefined {
    const remainingMs = request.budgetMs - request.arrived.elapsedMs();
    if (remainingMs < MIN_REMAINING_MS) return undefined;
    const { pool, tried, signal, newConnection } = options;
    const worker = this.#options.chooser.take(pool, tried, tried.size < route.maxAttempts);
    if (worker === undefined) return undefined;
    tried.add(worker.id);
    return this.#exchange(worker, request, route, { signal, newConnection, remainingMs });
  }

  async #exchange(
    worker: RegisteredWorker,
    request: ForwardedRequest,
    route: GatewayRoute,
    options: {
      readonly signal: AbortSignal;
      readonly newConnection: boolean;
      readonly remainingMs: number;
    },
  ): Promise<AttemptEnd> {
    const { clock, calls, chooser, logger } = this.#options;
    const { signal, newConnection, remainingMs } = options;
    const { id: requestId, method, path, host, headers, body } = request;
    const started = new Stopwatch(clock);
    let result: WorkerResult | 'abandoned' = 'failed';
    let load: WorkerLoad | undefined;
    let end: AttemptEnd;
    try {
      const message = { requestId, method, path, host, headers, body, remainingMs, newConnection };
      const answer = await calls.send(worker, message, signal);
      ({ load } = answer);
      end = await readEnd(worker, answer);
      if (answer.notRun) result = 'refused';
      else if (!isFailure(answer.statusCode)) result = 'answered';
    } catch (error) {
      const notConnected = error instanceof WorkerCallError && error.notConnected;
      end = { worker, mayHaveRun: !notConnected, reason: messageOf(error) };
      if (signal.aborted) result = judgeAbandoned(started.elapsedMs(), route);
    }
    chooser.release(worker.id, result, load);
    logger.info('worker-attempt', {
      request: requestId,
      route: route.name,
      worker: worker.id,
      remainingMs: Math.round(remainingMs),
      tookMs: Math.round(started.elapsedMs()),
      status: end.answer?.statusCode,
      result,
      reason: end.answer === undefined ? end.reason : undefined,
    });
    return end;
  }
}
