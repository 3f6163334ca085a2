import http, { type OutgoingHttpHeaders } from 'node:http';
import type { Readable } from 'node:stream';
import type { Clock } from '../../shared/clock.ts';
import { BaseError, messageOf } from '../../shared/errors.ts';
import { receiveResponse } from '../../shared/responseHead.ts';
import type { WorkerEndpoint } from '../membership/membershipView.ts';
import {
  CONNECT_TIMEOUT_MS,
  MAX_IDLE_SOCKETS_PER_WORKER,
  MAX_INFORMATIONAL_RESPONSES,
  MAX_SHORT_RESPONSE_BYTES,
  SHORT_CALL_TIMEOUT_MS,
} from './constants.ts';
import { ByteCollector, freeChunk } from '../../shared/byteCollector.ts';
import type { ResponseMemory } from './responseMemory.ts';
import { parseWorkerAddress } from './workerAddress.ts';

/** A call to a worker that got no complete response. */
export const WorkerCallError = BaseError.subclass('WorkerCallError', {
  props: {
    /** Whether the connection could not be opened, so that the worker cannot have received anything. */
    notConnected: false,
  },
});

export interface WorkerRequest {
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly headers?: OutgoingHttpHeaders;
  /** A stream is piped with backpressure; an error of the stream fails the request. */
  readonly body?: Buffer | string | Readable;
  /** Called once the body was sent or its connection is closed; maybe twice. */
  readonly onBodySent?: (() => void) | undefined;
  /**
   * Opens a new connection instead of using a kept-alive one.
   *
   * @default false
   */
  readonly newConnection?: boolean;
}

/** A request with a timeout and a small response. */
export interface ShortCall extends WorkerRequest {
  /** @default SHORT_CALL_TIMEOUT_MS */
  readonly timeoutMs?: number;
}

export interface ShortCallResponse {
  readonly statusCode: number;
  readonly body: Buffer;
}

/**
 * Reads a complete response body. Throws when it is truncated or larger than `maxBytes`.
 *
 * @param memory - memory that it shares with other responses @default no common limit
 */
export const readResponseBody = async (
  response: http.IncomingMessage,
  maxBytes: number,
  memory?: ResponseMemory,
): Promise<Buffer> => {
  using share = memory?.add(() =>
    response.destroy(new WorkerCallError('too many bytes of responses are buffered on this node')),
  );
  const announced = Number(response.headers['content-length'] ?? maxBytes);
  const collector = new ByteCollector(Math.min(announced, maxBytes));
  try {
    for await (const chunk of response as AsyncIterable<Buffer>) {
      const before = collector.sizeBytes;
      const sizeBytes = before + chunk.length;
      if (sizeBytes > maxBytes) throw new WorkerCallError(`response larger than ${maxBytes} bytes`);
      collector.append(chunk);
      freeChunk(chunk);
      share?.grow(sizeBytes - before);
    }
    if (!response.complete) throw new WorkerCallError('the response was truncated');
    return collector.bytes();
  } catch (error) {
    collector.discard();
    throw error;
  }
};

/** HTTP client for workers that keeps connections alive. */
export class WorkerHttpClient implements Disposable {
  readonly clock: Clock;

  readonly #agent = new http.Agent({
    keepAlive: true,
    maxFreeSockets: MAX_IDLE_SOCKETS_PER_WORKER,
  });

  constructor(clock: Clock) {
    this.clock = clock;
  }

  /**
   * Sends a request and resolves when a response head that HTTP allows has arrived. Connecting is limited to `CONNECT_TIMEOUT_MS`;
   * only `signal` limits the wait for the response.
   *
   * @throws WorkerCallError
   */
  send(
    worker: Pick<WorkerEndpoint, 'address'>,
    { method, path, headers, body, onBodySent, newConnection = false }: WorkerRequest,
    signal: AbortSignal,
  ): Promise<http.IncomingMessage> {
    return new Promise((resolve, reject) => {
      let connected = false;
      let workerResponse: http.IncomingMessage | undefined;
      const request = http.request({
        ...parseWorkerAddress(worker.address),
        method,
        path,
        headers,
        signal,
        agent: newConnection ? false : this.#agent,
      });
      if (onBodySent !== undefined) {
        // A worker may respond before it has read the body, which is then sent on.
        request.once('finish', onBodySent);
        request.once('close', onBodySent);
      }
      const receive = (response: http.IncomingMessage) => {
        workerResponse = response;
        // A reader of the response receives the error. Without a reader, an unhandled one would end the process.
        response.on('error', () => {});
        resolve(response);
      };
      let informational = 0;
      request.on('information', () => {
        informational += 1;
        if (informational > MAX_INFORMATIONAL_RESPONSES) {
          request.destroy(new Error('the worker sends informational responses without end'));
        }
      });
      request.once('socket', (socket) => {
        connected = !socket.connecting;
        if (connected) return;
        // A request that is aborted as its response ends destroys the connection with an error after Node has removed its own
        // listener. Without this one, the error would end the process.
        socket.on('error', () => {});
        // TCP keep-alive ends a connection whose network path was lost after about 15 s, even while the worker still
        // lists the request.
        socket.setKeepAlive(true, 5000);
        const timer = this.clock.schedule(CONNECT_TIMEOUT_MS, () =>
          request.destroy(new Error(`no connection within ${CONNECT_TIMEOUT_MS} ms`)),
        );
        socket.once('connect', () => {
          connected = true;
          timer[Symbol.dispose]();
        });
        socket.once('close', () => timer[Symbol.dispose]());
      });
      const fail = (error: Error) => {
        // Node would report a reset as the regular end of a response without a length.
        workerResponse?.destroy(error);
        reject(
          new WorkerCallError(messageOf(error), {
            cause: error,
            props: { notConnected: !connected },
          }),
        );
      };
      request.on('error', fail);
      receiveResponse(request, receive, fail, signal);
      if (body === undefined || typeof body === 'string' || Buffer.isBuffer(body)) {
        request.end(body);
      } else {
        body.on('error', (error) => request.destroy(error));
        body.pipe(request);
      }
    });
  }

  /**
   * Makes a call and buffers its response, which must be small.
   *
   * @throws WorkerCallError when there is no complete response in time
   */
  async call(worker: Pick<WorkerEndpoint, 'address'>, call: ShortCall): Promise<ShortCallResponse> {
    const abort = new AbortController();
    const timeoutMs = call.timeoutMs ?? SHORT_CALL_TIMEOUT_MS;
    const timer = this.clock.schedule(timeoutMs, () =>
      abort.abort(new WorkerCallError(`no response within ${timeoutMs} ms`)),
    );
    try {
      const response = await this.send(worker, call, abort.signal);
      const body = await readResponseBody(response, MAX_SHORT_RESPONSE_BYTES);
      return { statusCode: response.statusCode ?? 0, body };
    } catch (error) {
      if (error instanceof WorkerCallError) throw error;
      throw new WorkerCallError(messageOf(error), { cause: error });
    } finally {
      timer[Symbol.dispose]();
    }
  }

  /** Closes all connections of the connection pool. */
  [Symbol.dispose](): void {
    this.#agent.destroy();
  }
}
