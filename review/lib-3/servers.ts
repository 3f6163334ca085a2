import http from 'node:http';
import type { AddressInfo } from 'node:net';

/** Listens on a free port. @returns the address */
export const listen = (server: http.Server, host: string): Promise<string> =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, () => {
      resolve(`${host}:${(server.address() as AddressInfo).port}`);
    });
  });

export const readBody = async (message: http.IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  for await (const chunk of message as AsyncIterable<Buffer>) chunks.push(chunk);
  return Buffer.concat(chunks);
};

/** A complete answer. */
export interface Answer {
  readonly statusCode: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
}

export interface CallOptions {
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string | number>>;
  readonly body?: Buffer;
  readonly timeoutMs?: number;
}

/** Makes one call on a channel of its own. @returns undefined without a complete answer in time */
export const call = (
  address: string,
  path: string,
  { method = 'GET', headers = {}, body = Buffer.alloc(0), timeoutMs = 4000 }: CallOptions = {},
): Promise<Answer | undefined> =>
  new Promise((resolve) => {
    const [host, port] = address.split(':');
    const length = method === 'GET' ? {} : { 'content-length': body.length };
    const request = http.request({
      ...{ host, port, path, method, agent: false },
      headers: { ...headers, ...length },
    });
    const timer = setTimeout(() => request.destroy(), timeoutMs);
    request.once('close', () => {
      clearTimeout(timer);
      resolve(undefined);
    });
    request.on('error', () => {});
    request.once('response', (response) => {
      response.on('error', () => {});
      readBody(response).then(
        (bytes) => {
          const { statusCode = 0 } = response;
          if (response.complete) resolve({ statusCode, headers: response.headers, body: bytes });
        },
        () => {},
      );
    });
    request.end(body);
  });
