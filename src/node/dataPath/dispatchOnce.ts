import http, { type IncomingHttpHeaders, type OutgoingHttpHeaders } from 'node:http';
import net from 'node:net';
import type { Clock } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import { receiveResponse } from '../../shared/responseHead.ts';
import { parseWorkerAddress } from './workerAddress.ts';

/** A request to one worker with a buffered body. */
export interface DispatchOnceRequest {
  /** IP address and port of the worker. */
  readonly address: string;
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  /** Headers to send; `host`, `connection` and `content-length` are overwritten. */
  readonly headers: OutgoingHttpHeaders;
  readonly body: Buffer;
}

export interface DispatchOnceOptions {
  readonly clock: Clock;
  /** Timeout for opening the connection, in ms. */
  readonly connectTimeoutMs: number;
  /** Timeout from the call to the end of the response, in ms. */
  readonly timeoutMs: number;
  /** Largest response body, in bytes. A larger one gives `unknown`, because it cannot be stored completely. */
  readonly maxResponseBytes: number;
  /**
   * Called synchronously, directly before the first byte is written to the socket. Returning false cancels the request,
   * whose result is then `not-dispatched`.
   *
   * @default always true
   */
  readonly mayDispatch?: () => boolean;
}

/** Result of a call: whether the worker may have received the request, and its response. */
export type DispatchOnceResult =
  /** No byte was written to a socket. */
  | { readonly status: 'not-dispatched'; readonly reason: string }
  /** The worker's complete response. */
  | {
      readonly status: 'answered';
      readonly statusCode: number;
      readonly headers: IncomingHttpHeaders;
      readonly body: Buffer;
    }
  /** The request may have been sent, but no complete response was received. */
  | { readonly status: 'unknown'; readonly reason: string };

const openConnection = (
  address: string,
  timeoutMs: number,
  clock: Clock,
): Promise<net.Socket | { readonly reason: string }> =>
  new Promise((resolve) => {
    const socket = net.connect({ ...parseWorkerAddress(address), noDelay: true });
    const timer = clock.schedule(timeoutMs, () => {
      socket.destroy();
      resolve({ reason: `no connection to ${address} within ${timeoutMs} ms` });
    });
    // Stays attached after the promise has settled; later errors are reported by the request that uses the socket.
    socket.on('error', (error) => {
      timer[Symbol.dispose]();
      resolve({ reason: `no connection to ${address}: ${messageOf(error)}` });
    });
    socket.once('connect', () => {
      timer[Symbol.dispose]();
      resolve(socket);
    });
  });

const readResponseBody = async (
  response: http.IncomingMessage,
  maxBytes: number,
): Promise<Buffer | { readonly reason: string }> => {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  for await (const chunk of response as AsyncIterable<Buffer>) {
    sizeBytes += chunk.length;
    if (sizeBytes > maxBytes) return { reason: `the response is larger than ${maxBytes} bytes` };
    chunks.push(chunk);
  }
  if (!response.complete) return { reason: 'the response was truncated' };
  return Buffer.concat(chunks);
};

const exchange = async (
  socket: net.Socket,
  { address, method, path, headers, body }: DispatchOnceRequest,
  maxResponseBytes: number,
): Promise<DispatchOnceResult> => {
  try {
    const response = await new Promise<http.IncomingMessage>((resolve, reject) => {
      const request = http.request({
        createConnection: () => socket,
        method,
        path,
        headers: {
          ...headers,
          host: address,
          connection: 'close',
          'content-length': body.length,
        },
      });
      request.on('error', reject);
      receiveResponse(request, resolve, reject);
      request.end(body);
    });
    const readResult = await readResponseBody(response, maxResponseBytes);
    if (!Buffer.isBuffer(readResult)) return { status: 'unknown', reason: readResult.reason };
    return {
      status: 'answered',
      statusCode: response.statusCode ?? 0,
      headers: response.headers,
      body: readResult,
    };
  } catch (error) {
    return { status: 'unknown', reason: `no complete response: ${messageOf(error)}` };
  }
};

/**
 * Sends a request to a worker at most once. It uses a new connection, because the worker may already have closed a
 * kept-alive one, which leaves it unknown whether the request was read. Never throws.
 */
export const dispatchOnce = async (
  request: DispatchOnceRequest,
  {
    clock,
    connectTimeoutMs,
    timeoutMs,
    maxResponseBytes,
    mayDispatch = () => true,
  }: DispatchOnceOptions,
): Promise<DispatchOnceResult> => {
  const startMs = clock.monotonicMs();
  const socket = await openConnection(
    request.address,
    Math.min(connectTimeoutMs, timeoutMs),
    clock,
  );
  if (!(socket instanceof net.Socket)) return { status: 'not-dispatched', reason: socket.reason };
  if (!socket.writable) {
    socket.destroy();
    return { status: 'not-dispatched', reason: 'the worker closed the connection' };
  }
  if (!mayDispatch()) {
    socket.destroy();
    return { status: 'not-dispatched', reason: 'cancelled before the first byte was sent' };
  }
  const remainingMs = Math.max(0, timeoutMs - (clock.monotonicMs() - startMs));
  const timer = clock.schedule(remainingMs, () =>
    socket.destroy(new Error(`no complete response within ${timeoutMs} ms`)),
  );
  try {
    return await exchange(socket, request, maxResponseBytes);
  } finally {
    timer[Symbol.dispose]();
    socket.destroy();
  }
};
