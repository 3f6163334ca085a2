import http from 'node:http';
import { HOST } from './servers.ts';

export interface Answer {
  readonly statusCode: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

export interface Call {
  readonly method?: string;
  readonly path: string;
  readonly headers?: Record<string, string | number>;
  readonly body?: string | Buffer;
  readonly timeoutMs?: number;
}

/** Makes one call on a new connection; undefined without a complete answer. */
export const call = (
  port: number,
  { method = 'GET', path, headers = {}, body = '', timeoutMs = 5000 }: Call,
): Promise<Answer | undefined> =>
  new Promise((resolve) => {
    const length = Buffer.byteLength(body);
    const request = http.request({
      ...{ host: HOST, port, method, path, agent: false },
      headers: {
        ...headers,
        ...(length > 0 || method === 'POST' ? { 'content-length': length } : {}),
      },
    });
    const timer = setTimeout(() => request.destroy(), timeoutMs);
    request.on('error', () => {});
    request.once('close', () => {
      clearTimeout(timer);
      resolve(undefined);
    });
    request.once('response', (response) => {
      const chunks: Buffer[] = [];
      response.on('error', () => {});
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.once('end', () => {
        if (!response.complete) return;
        const { statusCode = 0 } = response;
        resolve({ statusCode, headers: response.headers, body: Buffer.concat(chunks).toString() });
      });
    });
    request.end(body);
  });
