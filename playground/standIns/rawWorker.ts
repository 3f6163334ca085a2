import { once } from 'node:events';
import net, { type AddressInfo } from 'node:net';

/** One step of what a worker in trouble does on a connection after it has read a request. */
export type RawStep =
  | { readonly kind: 'send'; readonly bytes: string }
  /** Sends the bytes again and again until the other side closes the connection. */
  | { readonly kind: 'flood'; readonly bytes: string }
  | { readonly kind: 'pause'; readonly forMs: number }
  /** Closes the connection in an orderly way. */
  | { readonly kind: 'end' }
  | { readonly kind: 'reset' };

export const send = (bytes: string): RawStep => ({ kind: 'send', bytes });
export const flood = (bytes: string): RawStep => ({ kind: 'flood', bytes });
export const pause = (forMs: number): RawStep => ({ kind: 'pause', forMs });
export const END: RawStep = { kind: 'end' };
export const RESET: RawStep = { kind: 'reset' };

/** Repetitions of a flood that are written at once. */
const FLOOD_CHUNK_REPEATS = 64;

/** A request as read by the stand-in. */
export interface RawRequest {
  /** Request line and headers. */
  readonly head: string;
  readonly requestId: string;
  /** Number of requests that this worker has read, including this one. */
  readonly count: number;
}

export interface RawWorker {
  readonly address: string;
  readonly server: net.Server;
  /** Requests read so far. */
  readonly requests: RawRequest[];
  /** Number of connections that are open now. */
  openConnections(): number;
}

const headerOf = (head: string, name: string): string =>
  new RegExp(`^${name}: (.*)$`, 'im').exec(head)?.[1]?.trim() ?? '';

const run = async (socket: net.Socket, steps: readonly RawStep[]): Promise<void> => {
  for (const step of steps) {
    if (socket.destroyed) return;
    if (step.kind === 'send') socket.write(step.bytes, 'latin1');
    else if (step.kind === 'end') socket.end();
    else if (step.kind === 'reset') socket.resetAndDestroy();
    else if (step.kind === 'pause') {
      await new Promise((resolve) => {
        // A worker that stays silent must not keep its process alive.
        setTimeout(resolve, step.forMs).unref();
      });
    } else {
      const chunk = step.bytes.repeat(FLOOD_CHUNK_REPEATS);
      while (!socket.destroyed && socket.writable) {
        if (!socket.write(chunk, 'latin1')) {
          await Promise.race([once(socket, 'drain'), once(socket, 'close')]).catch(() => {});
        } else await new Promise(setImmediate);
      }
    }
  }
};

/**
 * Starts a stand-in for a worker in trouble, which responds with raw bytes instead of valid HTTP.
 *
 * @param script - steps to take for a request
 */
export const startRawWorker = async (
  script: (request: RawRequest) => readonly RawStep[],
): Promise<RawWorker> => {
  const requests: RawRequest[] = [];
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    let received = '';
    socket.on('error', () => {});
    socket.once('close', () => sockets.delete(socket));
    socket.on('data', (data) => {
      received += data.toString('latin1');
      const headEnd = received.indexOf('\r\n\r\n');
      if (headEnd < 0) return;
      const head = received.slice(0, headEnd);
      const size = headEnd + 4 + (Number(headerOf(head, 'content-length')) || 0);
      if (received.length < size) return;
      received = received.slice(size);
      const request = {
        head,
        requestId: headerOf(head, 'x-request-id'),
        count: requests.length + 1,
      };
      requests.push(request);
      void run(socket, script(request));
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    server,
    requests,
    openConnections: () => sockets.size,
  };
};
