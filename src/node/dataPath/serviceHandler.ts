import type { IncomingMessage, OutgoingHttpHeaders } from 'node:http';
import type { Clock } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import { ProgressGuard } from '../decisions/progressGuard.ts';
import type { WorkerEndpoint } from '../membership/membershipView.ts';
import {
  type StartedAttempt,
  beginAttempt,
  tryTakeRetry,
  recordFailedAttempt,
} from './attempts.ts';
import { forwardHeaders } from './forwardHeaders.ts';
import { RequestError, requestError, type RequestFailure } from './problem.ts';
import type { RequestBody } from './requestBody.ts';
import type { HandlerDependencies, RequestContext } from './requestContext.ts';
import { guardedChunks } from './guardedChunks.ts';
import { WorkerCallError, type WorkerHttp } from './workerHttp.ts';
import { endResponse, writeChunk } from './writeResponse.ts';

export interface ServiceHandlerOptions extends HandlerDependencies {
  readonly clock: Clock;
  readonly http: WorkerHttp;
  /** Without progress of an answer for this long the worker is probed, in ms. */
  readonly idleMs: number;
  /** Asks a worker on a new connection whether it still works on a request. */
  readonly probe: (context: RequestContext, worker: WorkerEndpoint) => Promise<boolean>;
  /** Told when a worker refused a connection. */
  readonly onRefused: (worker: WorkerEndpoint) => void;
  /**
   * Headers added to an attempt's request.
   *
   * @default none
   */
  readonly extraHeaders?: (context: RequestContext, attempt: number) => OutgoingHttpHeaders;
}

/** Answers by which a worker says that it did not take the request. */
const UNAVAILABLE_STATUS_CODES = new Set([429, 502, 503]);

const workerFailure = (message: string) =>
  requestError(message, {
    outcome: 'failed',
    statusCode: 502,
    code: 'worker-failed',
    retryAfterMs: 1000,
  });

/** The refusal that ended the upload and with it the attempt, if that was the cause. */
const uploadFailureOf = (body: RequestBody): RequestFailure | undefined =>
  body.kind === 'streamed' && body.stream.errored instanceof RequestError
    ? body.stream.errored
    : undefined;

/** The answer's head goes out with its first bytes, so that a worker that fails before them can be replaced. */
const relayResponse = async (
  { response, scope, gate }: RequestContext,
  workerResponse: IncomingMessage,
  { attempt }: StartedAttempt,
  guard: ProgressGuard,
): Promise<void> => {
  const sendHead = () => {
    if (!gate.pass(attempt)) throw new Error('the attempt was abandoned');
    if (!response.headersSent) {
      response.writeHead(workerResponse.statusCode ?? 502, forwardHeaders(workerResponse.headers));
    }
  };
  for await (const chunk of guardedChunks(workerResponse, guard)) {
    sendHead();
    await writeChunk(response, chunk, scope.signal);
  }
  sendHead();
  await endResponse(response, scope.signal);
};

/** Passes requests to workers as they are, streaming both bodies. */
export class ServiceHandler {
  readonly #options: ServiceHandlerOptions;

  constructor(options: ServiceHandlerOptions) {
    this.#options = options;
  }

  /**
   * Answers a request. Tries again on another worker while nothing was sent to the caller and the body can be sent
   * again.
   *
   * @throws RequestError, or any error after the answer was begun
   */
  async handle(context: RequestContext, body: RequestBody): Promise<void> {
    const { response, gate } = context;
    for (let attemptCount = 1; ; attemptCount += 1) {
      const started = beginAttempt(context, this.#options, attemptCount === 1 ? 'first' : 'retry');
      try {
        const takeRetry = () =>
          body.kind === 'buffered' && !response.headersSent && tryTakeRetry(context, attemptCount);
        if (await this.#attempt(context, body, started, takeRetry)) return;
      } finally {
        // What still arrives from an attempt that failed is dropped.
        gate.close();
      }
    }
  }

  /** Makes one attempt. Returns false when another one is to be made. */
  async #attempt(
    context: RequestContext,
    body: RequestBody,
    started: StartedAttempt,
    takeRetry: () => boolean,
  ): Promise<boolean> {
    const { worker, span } = started;
    const abort = new AbortController();
    let silent = false;
    const forwardAbort = () => abort.abort();
    context.scope.signal.addEventListener('abort', forwardAbort, { once: true });
    if (context.scope.signal.aborted) forwardAbort();
    using guard = new ProgressGuard({
      clock: this.#options.clock,
      idleMs: this.#options.idleMs,
      probe: () => this.#options.probe(context, worker),
      onSilent: () => {
        silent = true;
        abort.abort();
      },
    });
    try {
      const workerResponse = await this.#send(context, body, started, guard, abort.signal);
      if (UNAVAILABLE_STATUS_CODES.has(workerResponse.statusCode ?? 0) && takeRetry()) {
        abort.abort();
        recordFailedAttempt(
          context,
          this.#options,
          started,
          'unavailable',
          `status ${workerResponse.statusCode}`,
        );
        return false;
      }
      await relayResponse(context, workerResponse, started, guard);
      span.setAttributes({ 'http.response.status_code': workerResponse.statusCode });
      span.end();
      return true;
    } catch (error) {
      abort.abort();
      this.#recordFailure(context, started, error, silent);
      if (context.scope.endedBy === undefined && takeRetry()) return false;
      throw uploadFailureOf(body) ?? workerFailure(`a worker of pool ${context.pool.name} failed`);
    } finally {
      context.scope.signal.removeEventListener('abort', forwardAbort);
    }
  }

  async #send(
    context: RequestContext,
    body: RequestBody,
    { attempt, worker, span }: StartedAttempt,
    guard: ProgressGuard,
    signal: AbortSignal,
  ): Promise<IncomingMessage> {
    const { request } = context;
    const headers = forwardHeaders(request.headers);
    if (body.kind === 'buffered' && (body.bytes.length > 0 || 'content-length' in headers)) {
      headers['content-length'] = body.bytes.length;
    }
    if (span.traceparent !== undefined) headers.traceparent = span.traceparent;
    Object.assign(headers, this.#options.extraHeaders?.(context, attempt.number));
    // While a body is still being uploaded, the worker has nothing to answer yet.
    if (body.kind === 'buffered') guard.wait();
    else body.stream.once('end', () => guard.wait());
    const workerResponse = await this.#options.http.send(
      worker,
      {
        method: request.method ?? 'GET',
        path: request.url ?? '/',
        headers,
        body: body.kind === 'buffered' ? body.bytes : body.stream,
      },
      signal,
    );
    context.mayHaveRun = true;
    guard.progress();
    return workerResponse;
  }

  #recordFailure(
    context: RequestContext,
    started: StartedAttempt,
    error: unknown,
    silent: boolean,
  ): void {
    const notConnected = error instanceof WorkerCallError && error.notConnected;
    if (notConnected) this.#options.onRefused(started.worker);
    else context.mayHaveRun = true;
    if (context.scope.endedBy !== undefined) {
      started.span.end(context.scope.endedBy);
      return;
    }
    let kind = notConnected ? 'not-connected' : 'broken';
    if (silent) kind = 'silent';
    recordFailedAttempt(context, this.#options, started, kind, messageOf(error));
  }
}
