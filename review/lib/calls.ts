import http from 'node:http';
import net from 'node:net';

export const HOST = 'ficu95.example';

/** Whether the disruption of the case is played. */
export const TROUBLE = process.env.TROUBLE !== '0';

/** Thrown when the case could not be played. */
export class CannotRun extends Error {}

export const sleepMs = (delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });

/** Waits until a condition holds. */
export const waitUntil = async (
  what: string,
  timeoutMs: number,
  condition: () => boolean | Promise<boolean>,
): Promise<void> => {
  const startMs = Date.now();
  while (!(await condition())) {
    if (Date.now() - startMs > timeoutMs) {
      throw new CannotRun(`${what}: not within ${timeoutMs} ms`);
    }
    await sleepMs(20);
  }
};

export interface CallResponse {
  readonly statusCode: number;
  readonly body: string;
}

export interface CallOptions {
  readonly method?: string;
  readonly url: string;
  readonly headers?: http.OutgoingHttpHeaders;
  readonly body?: string;
  readonly timeoutMs?: number;
}

/** One HTTP call on a new channel; undefined when no complete answer arrives in time. */
export const call = (
  address: string,
  { method = 'GET', url, headers = {}, body = '', timeoutMs = 4000 }: CallOptions,
): Promise<CallResponse | undefined> =>
  new Promise((resolve) => {
    const [host, port] = address.split(':');
    const request = http.request({
      ...{ host, port, method, path: url, agent: false },
      headers: { host: HOST, 'content-length': Buffer.byteLength(body), ...headers },
    });
    const timer = setTimeout(() => request.destroy(), timeoutMs);
    request.on('error', () => {});
    request.once('close', () => {
      clearTimeout(timer);
      resolve(undefined);
    });
    request.once('response', (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.once('error', () => {});
      response.once('end', () => {
        if (!response.complete) return;
        resolve({ statusCode: response.statusCode ?? 0, body: Buffer.concat(chunks).toString() });
      });
    });
    request.end(body);
  });

const isFree = (host: string, port: number): Promise<boolean> =>
  new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });

/** Finds free ports below the range that the kernel uses for outgoing channels. */
export const findFreePorts = async (host: string, count: number): Promise<number[]> => {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = 10_000 + Math.floor(Math.random() * 20_000);
    if (!ports.includes(port) && (await isFree(host, port))) ports.push(port);
  }
  return ports;
};
