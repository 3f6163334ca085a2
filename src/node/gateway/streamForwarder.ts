import { type Clock, sleep } from '../../shared/clock.ts';
import { MAX_EVENT_CHARS } from '../dataPath/constants.ts';
import { WorkerCallError } from '../dataPath/workerHttpClient.ts';
import { EventStreamJoin } from '../decisions/streams/eventStreamJoin.ts';
import { RetryBudgets } from '../decisions/retryBudgets.ts';
import {
  MAX_REFUSALS,
  REFUSAL_RETRY_DELAY_MS,
  RETRY_BUDGET_FRACTION,
  STREAM_STALL_MS,
} from './constants.ts';
import type { AdmissionGate } from './admissionGate.ts';
import type { ForwardedRequest, StreamOutcome, StreamSink } from './forwardedRequest.ts';
import type { GatewayRoute } from './gatewayTables.ts';
import type { LoadBalancer } from './loadBalancer.ts';
import { StallTimer } from './stallTimer.ts';
import { isEventStream, StreamRelay } from './streamRelay.ts';
import {
  type AttemptResult,
  is5xx,
  type ResponseReader,
  type WorkerAttempts,
} from './workerAttempts.ts';
import { withPlace } from './withPlace.ts';
import { withinBudget } from './withinBudget.ts';

export interface StreamForwarderOptions {
  readonly clock: Clock;
  readonly loadBalancer: LoadBalancer;
  readonly attempts: WorkerAttempts;
  /** @default each request is sent at once */
  readonly admission?: Pick<AdmissionGate, 'admit'>;
  /** Name of the field by which an event tells that the weight version changes at it. */
  readonly versionField: string;
}

/** One request on a streaming route. */
interface StreamedRequest {
  readonly request: ForwardedRequest;
  readonly route: GatewayRoute;
  readonly pool: string;
  readonly relay: StreamRelay;
  readonly tried: Set<string>;
  /** Aborted when the caller has left or the time is up. */
  readonly signal: AbortSignal;
}

/**
 * Forwards requests on streaming routes: passes events on as they arrive. Where the route allows it, a stream that
 * breaks off or falls silent continues at another worker, within the response of the first one.
 */
export class StreamForwarder {
  readonly #options: StreamForwarderOptions;

  readonly #budgets = new RetryBudgets();

  constructor(options: StreamForwarderOptions) {
    this.#options = options;
  }

  /** @param signal - aborted when the caller disconnects */
  async forward(
    request: ForwardedRequest,
    route: GatewayRoute,
    sink: StreamSink,
    signal: AbortSignal,
  ): Promise<StreamOutcome> {
    const { clock, loadBalancer, versionField, admission } = this.#options;
    const pool = loadBalancer.choosePool(route);
    if (pool === undefined) return { kind: 'not-run', reason: 'the route has no pool' };
    const join = new EventStreamJoin({
      ...{ lastEventId: request.resumeAfter ?? 0, versionField },
      maxEventBytes: MAX_EVENT_CHARS,
    });
    const relay = new StreamRelay(sink, join);
    const tried = new Set<string>();
    return withinBudget(clock, request, signal, (attemptsSignal) =>
      withPlace<StreamOutcome>(admission, { request, route, pool, signal: attemptsSignal }, () =>
        this.#run({ request, route, pool, relay, tried, signal: attemptsSignal }),
      ),
    );
  }

  async #run(streamed: StreamedRequest): Promise<StreamOutcome> {
    const { route, relay, tried, signal } = streamed;
    const budget = this.#budgets.budgetFor(route.name, RETRY_BUDGET_FRACTION);
    budget.recordFirstAttempt();
    const maxAttempts = route.resumable ? route.maxAttempts : 1;
    let attempts = 0;
    let refusals = 0;
    let last: AttemptResult | undefined;
    for (;;) {
      const attempt = this.#startAttempt(streamed, attempts, maxAttempts);
      if (attempt === undefined) break;
      last = await attempt;
      if (last.streamed) return { kind: 'streamed', events: relay.lastEventId };
      const { response, worker, mayHaveRun } = last;
      if (response !== undefined && !is5xx(response.statusCode) && !relay.started) return response;
      if (last.retryAfterMs !== undefined || last.condemned) break;
      if (mayHaveRun) attempts += 1;
      else refusals += 1;
      const mayContinue = mayHaveRun
        ? attempts < maxAttempts && budget.tryTake()
        : refusals <= MAX_REFUSALS;
      if (signal.aborted || !mayContinue) break;
      if (mayHaveRun) continue;
      tried.delete(worker.id);
      await sleep(this.#options.clock, REFUSAL_RETRY_DELAY_MS, signal);
    }
    const reason = last?.reason ?? 'no worker is available';
    if (relay.started) return { kind: 'interrupted', reason };
    if (last?.response !== undefined) return last.response;
    if (last?.condemned) return { kind: 'failed', reason };
    if (attempts === 0) return { kind: 'not-run', reason, retryAfterMs: last?.retryAfterMs };
    return { kind: signal.aborted ? 'timeout' : 'failed', reason };
  }

  /** @param attempts - earlier attempts that the worker may have executed */
  #startAttempt(
    { request, route, pool, relay, tried, signal }: StreamedRequest,
    attempts: number,
    maxAttempts: number,
  ): Promise<AttemptResult> | undefined {
    const abort = new AbortController();
    let stalled = false;
    const cancel = () => abort.abort();
    signal.addEventListener('abort', cancel, { once: true });
    // A run that must not be repeated is never given up for its silence.
    const stall = route.resumable
      ? new StallTimer(this.#options.clock, () => {
          stalled = true;
          abort.abort();
        })
      : undefined;
    stall?.wait(Math.max(STREAM_STALL_MS, 2 * route.targetLatencyMs));
    const attempt = this.#options.attempts.start(request, route, {
      ...{ pool, tried, signal: abort.signal },
      newConnection: !route.resumable || attempts > 0,
      resumeAfter: relay.lastEventId > 0 ? relay.lastEventId : undefined,
      read: this.#reader(relay, stall, attempts + 1 < maxAttempts),
      classifyAborted: () => (stalled ? 'silent' : 'abandoned'),
    });
    const finish = () => {
      stall?.stop();
      signal.removeEventListener('abort', cancel);
      abort.abort();
    };
    if (attempt === undefined) finish();
    return attempt?.finally(finish);
  }

  /** @param mayRepeat - whether another attempt can confirm that a stream of unknown length has ended */
  #reader(relay: StreamRelay, stall: StallTimer | undefined, mayRepeat: boolean): ResponseReader {
    const { attempts } = this.#options;
    return async (worker, response, onEvent) => {
      if (!isEventStream(response)) return attempts.readResponse(worker, response, onEvent);
      const end = await relay.relay(response, stall, onEvent);
      if (end !== 'complete' && mayRepeat) {
        return { worker, mayHaveRun: true, reason: 'the end of the stream is not certain' };
      }
      if (end === 'empty') throw new WorkerCallError('the stream ended without an event');
      relay.finish(response);
      return { worker, streamed: true, mayHaveRun: true, reason: 'complete' };
    };
  }
}
