import type http from 'node:http';
import type { Socket } from 'node:net';
import type { Clock } from '../../shared/clock.ts';
import type { RequestHandler } from '../dataPath/httpServer.ts';
import { requestError } from '../dataPath/problem.ts';
import {
  type ConnectionActivity,
  type ConnectionEndReason,
  type ConnectionLimits,
  ConnectionTable,
} from '../decisions/requestMemory/connectionTable.ts';
import { MEMORY_RETRY_AFTER_MS } from './constants.ts';

/** Bytes that wait at the operating system's side of a socket, which Node reports only in a private property. */
const queuedBytesOf = (socket: Socket): number | undefined => {
  const { _handle: handle } = socket as Socket & { _handle?: { writeQueueSize?: number } | null };
  return handle?.writeQueueSize;
};

const activityOf = (socket: Socket): ConnectionActivity => ({
  bytesRead: socket.bytesRead,
  // A large write stays in `writableLength` until its last byte is sent; the queue shows that a slow client reads it.
  unreadBytes: socket.writableLength === 0 ? 0 : (queuedBytesOf(socket) ?? socket.writableLength),
});

export interface ConnectionGuardOptions {
  readonly limits: ConnectionLimits;
  readonly clock: Clock;
  /** Called for each connection that is closed and each request that is refused. */
  readonly onEnded: (
    reason: ConnectionEndReason,
    fields: Readonly<Record<string, unknown>>,
  ) => void;
}

/** Bounds the connections of servers, the time of their heads and the responses that nobody reads. */
export class ConnectionGuard {
  readonly #table: ConnectionTable<Socket>;

  readonly #onEnded: ConnectionGuardOptions['onEnded'];

  constructor({ limits, clock, onEnded }: ConnectionGuardOptions) {
    this.#table = new ConnectionTable(limits, clock);
    this.#onEnded = onEnded;
  }

  get size(): number {
    return this.#table.size;
  }

  /** Must be called before the server listens. */
  watch(server: http.Server): void {
    server.on('connection', (socket: Socket) => {
      socket.once('close', () => this.#table.remove(socket));
      for (const { key, reason } of this.#table.add(socket, socket.remoteAddress ?? '')) {
        this.#end(key, reason);
      }
    });
  }

  /** The first handler of each server: counts the request, or refuses it. */
  readonly admit: RequestHandler = ({ socket }, response) => {
    const verdict = this.#table.begin(socket);
    response.once('close', () => this.#table.end(socket, socket.bytesRead));
    if (verdict === 'served') return false;
    if (verdict === 'pipelined') {
      if (!socket.destroyed) this.#end(socket, verdict);
      return true;
    }
    this.#onEnded(verdict, { address: socket.remoteAddress, connections: this.size });
    throw requestError('the node has too many connections; send the request again later', {
      ...{ outcome: 'not-run', statusCode: 503, code: 'connections-full' },
      retryAfterMs: MEMORY_RETRY_AFTER_MS,
    });
  };

  /** Closes the connections that make no progress. */
  sweep(limits: { readonly headTimeoutMs: number; readonly unreadTimeoutMs: number }): void {
    for (const { key, reason } of this.#table.sweep(activityOf, limits)) this.#end(key, reason);
  }

  #end(socket: Socket, reason: ConnectionEndReason): void {
    this.#onEnded(reason, { address: socket.remoteAddress, connections: this.size });
    socket.destroy();
  }
}
