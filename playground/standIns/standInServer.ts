import http from 'node:http';
import type { AddressInfo } from 'node:net';

/** Faults that every stand-in can simulate, set with `PUT /control/faults`. */
export interface Faults {
  /** Delay before each response, in ms. */
  latencyMs?: number;
  /** Respond to every request with status 503. */
  outage?: boolean;
  /** Accept connections and requests but never respond. */
  silent?: boolean;
  [name: string]: unknown;
}

export interface StandInRequest {
  readonly method: string;
  readonly url: URL;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
}

export type StandInHandler = (
  request: StandInRequest,
  response: http.ServerResponse,
) => void | Promise<void>;

/** Sends a JSON response. */
export const sendJson = (response: http.ServerResponse, statusCode: number, body: unknown) => {
  response.writeHead(statusCode, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
};

export const sleepMs = (delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });

/** Splits `/objects/KIND/NAME/status` into its parts; missing ones are empty. */
export const splitObjectPath = (pathname: string) => {
  const [, root = '', kind = '', name = '', part = ''] = pathname
    .split('/')
    .map((segment) => decodeURIComponent(segment));
  return { root, kind, name, part };
};

const readBody = async (request: http.IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
  return Buffer.concat(chunks);
};

/**
 * Starts a stand-in on 127.0.0.1. `GET /control/faults` reads the faults and `PUT /control/faults` replaces them.
 *
 * @param port - 0 for a port that the kernel chooses
 * @returns the address, the server and the faults, which the caller may change in place
 */
export const startStandIn = async (
  handler: StandInHandler,
  initialFaults: Faults = {},
  port = 0,
): Promise<{ address: string; server: http.Server; faults: Faults }> => {
  const faults = initialFaults;
  const server = http.createServer((incoming, response) => {
    const serve = async () => {
      const request: StandInRequest = {
        method: incoming.method ?? 'GET',
        url: new URL(incoming.url ?? '/', 'http://127.0.0.1'),
        headers: incoming.headers,
        body: await readBody(incoming),
      };
      if (request.url.pathname === '/control/faults') {
        if (request.method === 'PUT') {
          for (const name of Object.keys(faults)) delete faults[name];
          Object.assign(faults, JSON.parse(request.body.toString()));
        }
        sendJson(response, 200, faults);
        return;
      }
      if (faults.silent) return;
      if (faults.latencyMs) await sleepMs(faults.latencyMs);
      if (faults.outage) {
        sendJson(response, 503, { error: 'outage' });
        return;
      }
      await handler(request, response);
    };
    serve().catch((error: unknown) => {
      if (response.headersSent) response.destroy();
      else sendJson(response, 500, { error: String(error) });
    });
  });
  server.keepAliveTimeout = 75_000;
  await new Promise<void>((resolve) => {
    server.listen(port, '127.0.0.1', resolve);
  });
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, server, faults };
};

/** Entry point of a stand-in that runs as its own process: prints its address as the first line of standard output. */
export const runStandInProcess = async (start: (port: number) => Promise<{ address: string }>) => {
  const { address } = await start(Number(process.env.PORT ?? 0));
  process.stdout.write(`${address}\n`);
};
