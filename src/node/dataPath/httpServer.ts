import http from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Duplex } from 'node:stream';
import { OUTCOME_HEADER } from '../constants.ts';
import { problemBody } from './problem.ts';

/** Handles one request, or returns false to pass it to the next handler. */
export type RequestHandler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
) => boolean | Promise<boolean>;

/** Path of a request without the query string. */
export const pathOf = (request: http.IncomingMessage): string =>
  (request.url ?? '/').split('?', 1)[0] ?? '/';

/** First value of a header, or an empty string when it is absent. */
export const headerOf = (request: http.IncomingMessage, name: string): string => {
  const value = request.headers[name];
  return (Array.isArray(value) ? value[0] : value) ?? '';
};

/**
 * Whether a response is in progress on the connection. Node stores it in a private property of the socket. A second
 * response written in between would be read as a part of the first.
 */
const hasResponseInProgress = (socket: Duplex): boolean => {
  const { _httpMessage: response } = socket as Duplex & { _httpMessage?: http.ServerResponse };
  return response !== undefined && response !== null;
};

const CLIENT_ERRORS: Readonly<Record<string, { statusCode: number; code: string }>> = {
  HPE_HEADER_OVERFLOW: { statusCode: 431, code: 'headers-too-large' },
  ERR_HTTP_REQUEST_TIMEOUT: { statusCode: 408, code: 'headers-timeout' },
};

/** Responds to bytes that are not a valid HTTP request. There is no response object, so it writes to the socket. */
const rejectMalformedRequest = (error: NodeJS.ErrnoException, socket: Duplex): void => {
  // Nothing can be sent on a reset connection or on one with a response in progress.
  if (error.code === 'ECONNRESET' || !socket.writable || hasResponseInProgress(socket)) {
    socket.destroy();
    return;
  }
  const { statusCode, code } = CLIENT_ERRORS[error.code ?? ''] ?? {
    statusCode: 400,
    code: 'malformed-request',
  };
  const body = JSON.stringify(
    problemBody('the request is not valid HTTP', { outcome: 'not-run', statusCode, code }),
  );
  socket.end(
    [
      `HTTP/1.1 ${statusCode} ${http.STATUS_CODES[statusCode] ?? ''}`,
      'connection: close',
      'content-type: application/problem+json',
      `content-length: ${Buffer.byteLength(body)}`,
      `${OUTCOME_HEADER}: not-run`,
      '',
      body,
    ].join('\r\n'),
  );
};

/** Creates a server that passes each request to the handlers in order. `onError` receives what a handler throws. */
export const createHttpServer = (
  handlers: readonly RequestHandler[],
  onError: (error: unknown, response: http.ServerResponse) => void,
  options: http.ServerOptions = {},
): http.Server => {
  const server = http.createServer(options, (request, response) => {
    // A reader of the request receives the error. Without a reader, an unhandled one would end the process.
    request.on('error', () => {});
    const run = async () => {
      for (const handler of handlers) {
        if (await handler(request, response)) return;
      }
      response.statusCode = 404;
      response.end();
    };
    run().catch((error: unknown) => onError(error, response));
  });
  server.on('clientError', rejectMalformedRequest);
  // Node's default aborts requests whose upload takes more than 5 minutes. Route timeouts bound requests instead.
  server.requestTimeout = 0;
  // Limits clients that send their headers byte by byte.
  server.headersTimeout = 15_000;
  // Longer than the 60 s that is usual in clients' connection pools, so that the client closes first.
  server.keepAliveTimeout = 75_000;
  return server;
};

/**
 * Listens on an IP address. With port 0 the operating system assigns a port.
 *
 * @returns the port in use
 */
export const listen = (server: http.Server, host: string, port: number): Promise<number> =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve((server.address() as AddressInfo).port);
    });
  });
