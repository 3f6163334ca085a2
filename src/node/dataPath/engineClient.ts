import type { IncomingMessage } from 'node:http';
import type { Readable } from 'node:stream';
import type { Clock } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import { StallDetector } from '../decisions/stallDetector.ts';
import type { WorkerEndpoint } from '../membership/membershipView.ts';
import {
  KV_CALL_TIMEOUT_MS,
  MAX_REPLAYABLE_BODY_BYTES,
  SHORT_CALL_TIMEOUT_MS,
} from './constants.ts';
import type {
  CacheEvent,
  EngineApi,
  EngineLoad,
  EngineOrder,
  GenerationRequest,
  OrderResult,
  TokenChunk,
} from './engineApi.ts';
import {
  completionBody,
  EngineError,
  orderBody,
  parseCacheEvents,
  parseJson,
  parseLoad,
} from './engineMessages.ts';
import { readTokenChunks } from './engineStream.ts';
import {
  readResponseBody,
  type ShortCall,
  WorkerCallError,
  type WorkerHttpClient,
} from './workerHttpClient.ts';

export interface EngineClientOptions {
  readonly http: WorkerHttpClient;
  readonly clock: Clock;
  /** Time without progress of a stream after which its engine is probed, in ms. */
  readonly streamIdleMs: number;
}

const rejection = (statusCode: number, body?: Buffer) =>
  new EngineError(`the engine responded with status ${statusCode}`, {
    props: { kind: 'rejected' as const, statusCode, body },
  });

const toEngineError = (error: unknown, stalled: boolean, aborted: boolean) => {
  if (aborted) return new EngineError('call aborted', { props: { kind: 'aborted' as const } });
  if (stalled) {
    return new EngineError('no data arrived and the engine no longer lists the stream', {
      props: { kind: 'silent' as const },
    });
  }
  if (error instanceof EngineError) return error;
  const notConnected = error instanceof WorkerCallError && error.notConnected;
  return new EngineError(messageOf(error), {
    cause: error,
    props: { kind: notConnected ? ('not-connected' as const) : ('broken' as const) },
  });
};

/** HTTP client for model engines. */
export class EngineClient implements EngineApi {
  readonly #options: EngineClientOptions;

  constructor(options: EngineClientOptions) {
    this.#options = options;
  }

  async *generate(
    worker: WorkerEndpoint,
    request: GenerationRequest,
    signal: AbortSignal,
  ): AsyncGenerator<TokenChunk> {
    const abort = new AbortController();
    const forwardAbort = () => abort.abort();
    signal.addEventListener('abort', forwardAbort, { once: true });
    if (signal.aborted) forwardAbort();
    let stalled = false;
    using guard = new StallDetector({
      clock: this.#options.clock,
      idleMs: this.#options.streamIdleMs,
      probe: () => this.isWorkingOn(worker, request.streamId),
      onStalled: () => {
        stalled = true;
        abort.abort();
      },
    });
    let streamEnded = false;
    try {
      const response = await this.#startGeneration(worker, request, guard, abort.signal);
      yield* readTokenChunks(response, guard);
      streamEnded = true;
    } catch (error) {
      const failure = toEngineError(error, stalled, signal.aborted);
      streamEnded = failure.kind === 'rejected' || failure.kind === 'not-connected';
      throw failure;
    } finally {
      signal.removeEventListener('abort', forwardAbort);
      if (!streamEnded) {
        abort.abort();
        // The engine may not notice that the connection was lost. The result of the cancellation is not needed.
        void this.cancel(worker, request.streamId).catch(() => {});
      }
    }
  }

  /** Whether the engine responds on a new connection and lists the stream. */
  async isWorkingOn(worker: WorkerEndpoint, streamId: string): Promise<boolean> {
    const response = await this.#call(worker, {
      method: 'GET',
      path: '/v1/streams',
      newConnection: true,
    });
    const { streams } = parseJson(response.toString());
    return Array.isArray(streams) && streams.includes(streamId);
  }

  /** Resolves with true when the engine responds on a new connection; throws otherwise. */
  async isReachable(worker: WorkerEndpoint): Promise<boolean> {
    await this.#call(worker, { method: 'GET', path: '/v1/load', newConnection: true });
    return true;
  }

  async load(worker: WorkerEndpoint): Promise<EngineLoad> {
    return parseLoad((await this.#call(worker, { method: 'GET', path: '/v1/load' })).toString());
  }

  async listStreams(worker: WorkerEndpoint): Promise<readonly string[]> {
    const response = await this.#call(worker, { method: 'GET', path: '/v1/streams' });
    const { streams } = parseJson(response.toString());
    return Array.isArray(streams) ? streams.map(String) : [];
  }

  async cancel(worker: WorkerEndpoint, streamId: string): Promise<void> {
    const path = `/v1/streams/${encodeURIComponent(streamId)}`;
    const { statusCode } = await this.#options.http.call(worker, { method: 'DELETE', path });
    // 404: the stream has already ended.
    if (statusCode >= 300 && statusCode !== 404) throw rejection(statusCode);
  }

  async order(worker: WorkerEndpoint, order: EngineOrder): Promise<OrderResult> {
    try {
      const { statusCode, body } = await this.#options.http.call(worker, {
        method: 'POST',
        path: '/v1/orders',
        headers: { 'content-type': 'application/json' },
        body: orderBody(order),
        timeoutMs: Math.min(SHORT_CALL_TIMEOUT_MS, order.deadlineMs),
      });
      if (statusCode === 202) return { status: 'taken' };
      const fields = statusCode === 409 ? parseJson(body.toString()) : {};
      if (typeof fields.fencing === 'number') return { status: 'fenced', fencing: fields.fencing };
    } catch (error) {
      if (!(error instanceof WorkerCallError || error instanceof EngineError)) throw error;
    }
    return { status: 'unknown' };
  }

  async exportKv(worker: WorkerEndpoint, streamId: string): Promise<Readable> {
    const abort = new AbortController();
    const timer = this.#options.clock.schedule(KV_CALL_TIMEOUT_MS, () => abort.abort());
    try {
      const response = await this.#options.http.send(
        worker,
        {
          method: 'POST',
          path: '/v1/kv/export',
          headers: { 'content-type': 'application/json' },
          body: JSON.stringify({ stream_id: streamId }),
        },
        abort.signal,
      );
      response.once('close', () => timer[Symbol.dispose]());
      if (response.statusCode === 200) return response;
      response.destroy();
      throw rejection(response.statusCode ?? 0);
    } catch (error) {
      timer[Symbol.dispose]();
      throw error;
    }
  }

  async importKv(worker: WorkerEndpoint, bytes: Readable): Promise<string> {
    const response = await this.#call(worker, {
      method: 'POST',
      path: '/v1/kv/import',
      headers: { 'content-type': 'application/octet-stream' },
      body: bytes,
      timeoutMs: KV_CALL_TIMEOUT_MS,
    });
    return String(parseJson(response.toString()).stream_id);
  }

  async cacheEvents(
    worker: WorkerEndpoint,
    after: number,
  ): Promise<{ events: CacheEvent[]; next: number }> {
    const response = await this.#call(worker, {
      method: 'GET',
      path: `/v1/cache-events?after=${after}`,
    });
    return parseCacheEvents(response.toString());
  }

  async #startGeneration(
    worker: WorkerEndpoint,
    request: GenerationRequest,
    guard: StallDetector,
    signal: AbortSignal,
  ): Promise<IncomingMessage> {
    guard.startWaiting();
    const response = await this.#options.http.send(
      worker,
      {
        method: 'POST',
        path: '/v1/completions',
        headers: {
          'content-type': 'application/json',
          'x-request-id': request.streamId,
          'x-priority': request.priority,
          ...(request.traceparent && { traceparent: request.traceparent }),
        },
        body: completionBody(request),
      },
      signal,
    );
    guard.recordProgress();
    if (response.statusCode === 200) return response;
    throw rejection(
      response.statusCode ?? 0,
      await readResponseBody(response, MAX_REPLAYABLE_BODY_BYTES),
    );
  }

  async #call(worker: WorkerEndpoint, call: ShortCall): Promise<Buffer> {
    const { statusCode, body } = await this.#options.http.call(worker, call);
    if (statusCode >= 300) throw rejection(statusCode, body);
    return body;
  }
}
