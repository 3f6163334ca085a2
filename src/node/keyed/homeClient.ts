import http, { type IncomingHttpHeaders } from 'node:http';
import type { NodeIdentity } from '../../gen/hyssoppulley/v1/peer_pb.ts';
import type { Clock } from '../../shared/clock.ts';
import { receiveResponse } from '../../shared/responseHead.ts';
import { messageOf } from '../../shared/errors.ts';
import { FORWARD_PREFIX, HOP_HEADER } from '../constants.ts';
import { forwardHeaders } from '../dataPath/forwardHeaders.ts';
import {
  HOME_HEADER,
  KEYED_FORWARD_PATH,
  MAX_DELIVERED_RESPONSE_BYTES,
  MAX_IDLE_FORWARD_SOCKETS,
} from './constants.ts';
import { noTracing, type Tracing } from '../observability/tracing.ts';
import { withSpan, withTraceparent } from '../observability/withSpan.ts';
import type { KeyedRequest } from './keyedRuns.ts';

/** Response of a home, for the caller. `silent`: no response was received that is known to come from the key's home. */
export type ForwardResult =
  | {
      readonly status: 'answered';
      readonly statusCode: number;
      readonly headers: IncomingHttpHeaders;
      readonly body: Buffer;
    }
  | { readonly status: 'silent'; readonly reason: string };

/** Maximum number of attempts per request. A retry after a connection failure is safe: the home detects repeats. */
const MAX_ATTEMPTS = 2;

/** Forwards keyed requests to their homes over the peer port. */
export class HomeClient implements Disposable {
  readonly #clock: Clock;

  readonly #idleTimeoutMs: number;

  readonly #tracing: Tracing;

  readonly #agent = new http.Agent({ keepAlive: true, maxFreeSockets: MAX_IDLE_FORWARD_SOCKETS });

  /** @param idleTimeoutMs - time without any data from a home after which it counts as silent, in ms */
  constructor(clock: Clock, idleTimeoutMs: number, tracing: Tracing = noTracing) {
    this.#clock = clock;
    this.#idleTimeoutMs = idleTimeoutMs;
    this.#tracing = tracing;
  }

  /** Sends a request to the home of its key and reads the complete response. Never throws. */
  async forward(home: NodeIdentity, request: KeyedRequest): Promise<ForwardResult> {
    let reason = '';
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      try {
        return await withSpan(
          this.#tracing,
          { name: 'forward-to-home', kind: 'client', parent: request.headers.traceparent },
          (span) =>
            this.#attempt(home, { ...request, headers: withTraceparent(request.headers, span) }),
        );
      } catch (error) {
        reason = messageOf(error);
      }
    }
    return { status: 'silent', reason };
  }

  [Symbol.dispose](): void {
    this.#agent.destroy();
  }

  async #attempt(home: NodeIdentity, request: KeyedRequest): Promise<ForwardResult> {
    const outgoing = http.request(this.#requestOptions(home, request));
    let idle = false;
    const onIdleTimeout = () => {
      idle = true;
      outgoing.destroy(new Error('silent'));
    };
    let timer = this.#clock.schedule(this.#idleTimeoutMs, onIdleTimeout);
    const onActivity = () => {
      timer[Symbol.dispose]();
      timer = this.#clock.schedule(this.#idleTimeoutMs, onIdleTimeout);
    };
    try {
      const response = await new Promise<http.IncomingMessage>((resolve, reject) => {
        outgoing.on('information', onActivity);
        outgoing.on('error', reject);
        receiveResponse(outgoing, resolve, reject);
        outgoing.end(request.body);
      });
      return await HomeClient.#read(response, request.key.homeIncarnation, onActivity);
    } catch (error) {
      if (idle) {
        return { status: 'silent', reason: `no data for ${this.#idleTimeoutMs} ms` };
      }
      throw error;
    } finally {
      timer[Symbol.dispose]();
    }
  }

  #requestOptions(
    home: NodeIdentity,
    { method, pathAndQuery, headers, body }: KeyedRequest,
  ): http.RequestOptions {
    return {
      host: home.host,
      port: home.peerPort,
      method,
      path: `${FORWARD_PREFIX}${KEYED_FORWARD_PATH}${pathAndQuery}`,
      agent: this.#agent,
      headers: {
        ...forwardHeaders(headers),
        [HOP_HEADER]: '1',
        'content-length': body.length,
      },
    };
  }

  static async #read(
    response: http.IncomingMessage,
    incarnation: string,
    onActivity: () => void,
  ): Promise<ForwardResult> {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    for await (const chunk of response as AsyncIterable<Buffer>) {
      onActivity();
      sizeBytes += chunk.length;
      if (sizeBytes > MAX_DELIVERED_RESPONSE_BYTES) throw new Error('the response is too large');
      chunks.push(chunk);
    }
    if (!response.complete) throw new Error('the response was truncated');
    if (response.headers[HOME_HEADER] !== incarnation) {
      return { status: 'silent', reason: 'another process responded at the address of the home' };
    }
    return {
      status: 'answered',
      statusCode: response.statusCode ?? 502,
      headers: response.headers,
      body: Buffer.concat(chunks),
    };
  }
}
