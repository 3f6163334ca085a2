import http from 'node:http';
import type { Clock } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import { newId, type Random } from '../../shared/random.ts';
import { PLATFORM_MAX_VALUE_BYTES } from '../constants.ts';
import {
  PlatformError,
  type PlatformClient,
  type PlatformEvent,
  type PlatformObject,
  type VmEntry,
  type WriteOptions,
  type WriteResult,
} from './platformClient.ts';
import { PlatformWatch } from './platformWatch.ts';

/** Largest response that is read: a list of every object below one prefix at the design size. */
const MAX_RESPONSE_BYTES = 32_000_000;

/** Answers that say for certain that a change did not take effect, besides a conflict. */
const REFUSALS: ReadonlySet<number> = new Set([400, 401, 403, 404, 413, 429, 503]);

interface PlatformResponse {
  readonly statusCode: number;
  readonly body: unknown;
}

export interface HttpPlatformClientOptions {
  /** Base URL with an IP number. */
  readonly url: string;
  /** Time for one call, in ms. */
  readonly timeoutMs: number;
  readonly clock: Clock;
  readonly random: Random;
  /** Told when a watch that broke is opened anew. */
  readonly onWatchReopened?: () => void;
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
    const response = await this.#call('GET', `/objects/${key}`);
    if (response.statusCode === 404) return undefined;
    expectOk(response);
    return response.body as PlatformObject;
  }

  async list(prefix: string): Promise<readonly PlatformObject[]> {
    const response = await this.#call('GET', `/objects?prefix=${encodeURIComponent(prefix)}`);
    expectOk(response);
    return (response.body as { items: PlatformObject[] }).items;
  }

  write(key: string, value: unknown, options: WriteOptions = {}): Promise<WriteResult> {
    return this.#change('PUT', key, options, value);
  }

  remove(key: string, options: WriteOptions = {}): Promise<WriteResult> {
    return this.#change('DELETE', key, options);
  }

  watch(prefix: string, onEvent: (event: PlatformEvent) => void): Disposable {
    const { url, clock, random, onWatchReopened } = this.#options;
    return new PlatformWatch({
      url: `${url}/watch?prefix=${encodeURIComponent(prefix)}`,
      clock,
      random,
      onEvent,
      onReopen: onWatchReopened,
    });
  }

  async listVms(): Promise<readonly VmEntry[]> {
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
    const payload = value === undefined ? undefined : Buffer.from(JSON.stringify(value));
    if (payload && payload.length > PLATFORM_MAX_VALUE_BYTES) {
      const reason = `${key} has ${payload.length} bytes; the platform holds ${PLATFORM_MAX_VALUE_BYTES}`;
      return { status: 'unavailable', reason };
    }
    try {
      const { statusCode, body } = await this.#call(method, `/objects/${key}`, headers, payload);
      const { version } = body as { version: number };
      if (typeof version !== 'number' && !REFUSALS.has(statusCode)) {
        return { status: 'unknown', operationId };
      }
      if (statusCode === 200) return { status: 'written', version };
      if (statusCode === 412) return { status: 'conflict', version };
      if (REFUSALS.has(statusCode)) {
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
    payload?: Buffer,
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
          let sizeBytes = 0;
          response.on('data', (chunk: Buffer) => {
            sizeBytes += chunk.length;
            if (sizeBytes <= MAX_RESPONSE_BYTES) chunks.push(chunk);
            else request.destroy(new Error(`response is over ${MAX_RESPONSE_BYTES} bytes`));
          });
          response.on('error', (error) => {
            reject(new PlatformError(`platform call failed: ${error.message}`, { cause: error }));
          });
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
      request.end(payload);
    });
  }
}
