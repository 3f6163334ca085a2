import type { IncomingMessage, OutgoingHttpHeaders } from 'node:http';
import type { Clock } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import { StallDetector } from '../decisions/stallDetector.ts';
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
import { WorkerCallError, type WorkerHttpClient } from './workerHttpClient.ts';
import { endResponse, writeChunk } from './writeResponse.ts';

export interface ServiceHandlerOptions extends HandlerDependencies {
  readonly clock: Clock;
  readonly http: WorkerHttpClient;
  /** Time without progress of a response after which its worker is probed, in ms. */
  readonly idleMs: number;
  /** Asks a worker on a new connection whether it is still processing a request. */
  readonly probe: (context: RequestContext, worker: WorkerEndpoint) => Promise<boolean>;
  /** Called when a worker refused a connection. */
  readonly onRefused: (worker: WorkerEndpoint) => void;
  /**
   * Headers to add to the request of an attempt.
   *
   * @default none
   */
  readonly extraHeaders?: (context: RequestContext, attempt: number) => OutgoingHttpHeaders;
}

/** Status codes by which a worker signals that it did not process the request. */
const UNAVAILABLE_STATUS_CODES = new Set([429, 502, 503]);

const workerFailure = (message: string) =>
  requestError(message, {
    outcome: 'failed',
    statusCode: 502,
    code: 'worker-failed',
    retryAfterMs: 1000,
  });

/** The error that ended the upload of a streamed body, if it caused the attempt to fail. */
const uploadFailureOf = (body: RequestBody): RequestFailure | undefined =>
  body.kind === 'streamed' && body.stream.errored instanceof RequestError
    ? body.stream.errored
    : undefined;

/**
 * Streams a worker's response to the caller. Its status and headers are sent only with the first chunk of the body or
 * its end, so that the request can be retried on another worker until then.
 */
const relayResponse = async (
  { response, scope, gate }: RequestContext,
  workerResponse: IncomingMessage,
  { attempt }: StartedAttempt,
  guard: StallDetector,
): Promise<void> => {
  const sendHead = () => {
    if (!gate.tryForward(attempt)) throw new Error('the attempt was abandoned');
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

/** Proxies requests to workers unchanged, streaming the bodies of requests and responses. */
export class ServiceHandler {
  readonly #options: ServiceHandlerOptions;

  constructor(options: ServiceHandlerOptions) {
    this.#options = options;
  }

  /**
   * Proxies a request. Retries on another worker if nothing has been sent to the caller yet and the body is buffered.
   *
   * @throws RequestError
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
        // Data that still arrives from a failed attempt is dropped.
        gate.close();
      }
    }
  }

  /** Makes one attempt. Returns false when the request is to be retried. */
  async #attempt(
    context: RequestContext,
    body: RequestBody,
    started: StartedAttempt,
    takeRetry: () => boolean,
  ): Promise<boolean> {
    const { worker, span } = started;
    const abort = new AbortController();
    let stalled = false;
    const forwardAbort = () => abort.abort();
    context.scope.signal.addEventListener('abort', forwardAbort, { once: true });
    if (context.scope.signal.aborted) forwardAbort();
    using guard = new StallDetector({
      clock: this.#options.clock,
      idleMs: this.#options.idleMs,
      probe: () => this.#options.probe(context, worker),
      onStalled: () => {
        stalled = true;
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
      this.#recordFailure(context, started, error, stalled);
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
    guard: StallDetector,
    signal: AbortSignal,
  ): Promise<IncomingMessage> {
    const { request } = context;
    const headers = forwardHeaders(request.headers);
    if (body.kind === 'buffered' && (body.bytes.length > 0 || 'content-length' in headers)) {
      headers['content-length'] = body.bytes.length;
    }
    if (span.traceparent !== undefined) headers.traceparent = span.traceparent;
    Object.assign(headers, this.#options.extraHeaders?.(context, attempt.number));
    // While the body is being uploaded, no response is expected yet, so idle time does not count.
    if (body.kind === 'buffered') guard.startWaiting();
    else body.stream.once('end', () => guard.startWaiting());
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
    guard.recordProgress();
    return workerResponse;
  }

  #recordFailure(
    context: RequestContext,
    started: StartedAttempt,
    error: unknown,
    stalled: boolean,
  ): void {
    const notConnected = error instanceof WorkerCallError && error.notConnected;
    if (notConnected) this.#options.onRefused(started.worker);
    else context.mayHaveRun = true;
    if (context.scope.endedBy !== undefined) {
      started.span.end(context.scope.endedBy);
      return;
    }
    let kind = notConnected ? 'not-connected' : 'broken';
    if (stalled) kind = 'silent';
    recordFailedAttempt(context, this.#options, started, kind, messageOf(error));
  }
}
