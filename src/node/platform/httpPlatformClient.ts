import http from 'node:http';
import { newId } from '../../shared/random.ts';
import { messageOf } from '../../shared/errors.ts';
import {
  PlatformError,
  type PlatformClient,
  type PlatformEvent,
  type PlatformObject,
  type VmEntry,
  type WriteOptions,
  type WriteResult,
} from './platformClient.ts';

interface PlatformResponse {
  readonly statusCode: number;
  readonly body: unknown;
}

export interface HttpPlatformClientOptions {
  /** Base URL with an IP number. */
  readonly url: string;
  /** Time for one call, in ms. */
  readonly timeoutMs: number;
  /** Told of each call, for the call budget. */
  readonly onCall?: (operation: 'read' | 'list' | 'write' | 'remove' | 'watch' | 'vms') => void;
}

const expectOk = (response: PlatformResponse): void => {
  if (response.statusCode !== 200) {
    throw new PlatformError(`platform answered ${response.statusCode}`);
  }
};

/** Client of the platform's object API over HTTP. */
export class HttpPlatformClient implements PlatformClient {
  readonly #options: HttpPlatformClientOptions;

  readonly #agent = new http.Agent({ keepAlive: true, maxSockets: 16 });

  constructor(options: HttpPlatformClientOptions) {
    this.#options = options;
  }

  async read(key: string): Promise<PlatformObject | undefined> {
    this.#options.onCall?.('read');
    const response = await this.#call('GET', `/objects/${key}`);
    if (response.statusCode === 404) return undefined;
    expectOk(response);
    return response.body as PlatformObject;
  }

  async list(prefix: string): Promise<readonly PlatformObject[]> {
    this.#options.onCall?.('list');
    const response = await this.#call('GET', `/objects?prefix=${encodeURIComponent(prefix)}`);
    expectOk(response);
    return (response.body as { items: PlatformObject[] }).items;
  }

  write(key: string, value: unknown, options: WriteOptions = {}): Promise<WriteResult> {
    this.#options.onCall?.('write');
    return this.#change('PUT', key, options, value);
  }

  remove(key: string, options: WriteOptions = {}): Promise<WriteResult> {
    this.#options.onCall?.('remove');
    return this.#change('DELETE', key, options);
  }

  watch(prefix: string, onEvent: (event: PlatformEvent) => void): Disposable {
    this.#options.onCall?.('watch');
    const request = http.get(
      `${this.#options.url}/watch?prefix=${encodeURIComponent(prefix)}`,
      (response) => {
        let rest = '';
        response.setEncoding('utf8');
        response.on('data', (chunk: string) => {
          const lines = (rest + chunk).split('\n');
          rest = lines.pop() ?? '';
          for (const line of lines) if (line) onEvent(JSON.parse(line) as PlatformEvent);
        });
        response.on('error', () => {});
      },
    );
    // A broken watch is noticed by the owner's periodic read.
    request.on('error', () => {});
    return { [Symbol.dispose]: () => request.destroy() };
  }

  async listVms(): Promise<readonly VmEntry[]> {
    this.#options.onCall?.('vms');
    const response = await this.#call('GET', '/vms');
    expectOk(response);
    return (response.body as { vms: VmEntry[] }).vms;
  }

  async #change(
    method: 'PUT' | 'DELETE',
    key: string,
    options: WriteOptions,
    value?: unknown,
  ): Promise<WriteResult> {
    const operationId = options.operationId ?? newId();
    const headers: Record<string, string> = { 'x-operation-id': operationId };
    if (options.ifVersion !== undefined) headers['if-match'] = String(options.ifVersion);
    try {
      const { statusCode, body } = await this.#call(method, `/objects/${key}`, headers, value);
      const { version } = body as { version: number };
      if (statusCode === 200) return { status: 'written', version };
      if (statusCode === 412) return { status: 'conflict', version };
      if (statusCode === 429 || statusCode === 503) {
        return { status: 'unavailable', reason: `platform answered ${statusCode}` };
      }
      return { status: 'unknown', operationId };
    } catch (error) {
      if ((error as { code?: string }).code === 'ECONNREFUSED') {
        return { status: 'unavailable', reason: messageOf(error) };
      }
      return { status: 'unknown', operationId };
    }
  }

  #call(
    method: string,
    path: string,
    headers: Record<string, string> = {},
    value?: unknown,
  ): Promise<PlatformResponse> {
    return new Promise((resolve, reject) => {
      const request = http.request(
        `${this.#options.url}${path}`,
        {
          method,
          agent: this.#agent,
          headers: { ...headers, 'content-type': 'application/json' },
          signal: AbortSignal.timeout(this.#options.timeoutMs),
        },
        (response) => {
          const chunks: Buffer[] = [];
          response.on('data', (chunk: Buffer) => chunks.push(chunk));
          response.on('error', (error) => reject(error));
          response.on('end', () => {
            try {
              const text = Buffer.concat(chunks).toString('utf8');
              resolve({ statusCode: response.statusCode ?? 0, body: text ? JSON.parse(text) : {} });
            } catch (error) {
              reject(new PlatformError('the platform sent no JSON', { cause: error }));
            }
          });
        },
      );
      request.on('error', (error) => {
        const { code } = error as { code?: string };
        const wrapped = new PlatformError(`platform call failed: ${error.message}`, {
          cause: error,
        });
        reject(code === undefined ? wrapped : Object.assign(wrapped, { code }));
      });
      request.end(value === undefined ? undefined : JSON.stringify(value));
    });
  }
}
