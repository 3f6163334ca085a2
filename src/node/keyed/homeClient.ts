import http, { type IncomingHttpHeaders } from 'node:http';
import type { NodeIdentity } from '../../gen/hyssoppulley/v1/peer_pb.ts';
import type { Clock } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import { FORWARD_PREFIX, HOP_HEADER } from '../constants.ts';
import { forwardHeaders } from '../dataPath/forwardHeaders.ts';
import {
  HOME_HEADER,
  KEYED_FORWARD_PATH,
  MAX_DELIVERED_ANSWER_BYTES,
  MAX_IDLE_FORWARD_SOCKETS,
} from './constants.ts';
import { noTracing, type Tracing } from '../observability/tracing.ts';
import { withSpan, withTraceparent } from '../observability/withSpan.ts';
import type { KeyedRequest } from './keyedRuns.ts';

/** What a home answered, for the caller. `silent`: nothing that can be attributed to the key's home. */
export type HomeAnswer =
  | {
      readonly status: 'answered';
      readonly statusCode: number;
      readonly headers: IncomingHttpHeaders;
      readonly body: Buffer;
    }
  | { readonly status: 'silent'; readonly reason: string };

/** Attempts for each request. The home recognises repeats, so a second attempt after a broken connection is safe. */
const MAX_ATTEMPTS = 2;

/** Forwards keyed requests to their homes over the peer port. */
export class HomeClient implements Disposable {
  readonly #clock: Clock;

  readonly #silenceMs: number;

  readonly #tracing: Tracing;

  readonly #agent = new http.Agent({ keepAlive: true, maxFreeSockets: MAX_IDLE_FORWARD_SOCKETS });

  /** @param silenceMs - a home that shows no sign of life for so long counts as silent */
  constructor(clock: Clock, silenceMs: number, tracing: Tracing = noTracing) {
    this.#clock = clock;
    this.#silenceMs = silenceMs;
    this.#tracing = tracing;
  }

  /** Sends a request to its home and reads the whole answer. Never throws. */
  async forward(home: NodeIdentity, request: KeyedRequest): Promise<HomeAnswer> {
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

  async #attempt(home: NodeIdentity, request: KeyedRequest): Promise<HomeAnswer> {
    const outgoing = http.request(this.#requestOptions(home, request));
    let silent = false;
    const onSilence = () => {
      silent = true;
      outgoing.destroy(new Error('silent'));
    };
    let timer = this.#clock.schedule(this.#silenceMs, onSilence);
    const onSignOfLife = () => {
      timer[Symbol.dispose]();
      timer = this.#clock.schedule(this.#silenceMs, onSilence);
    };
    try {
      const response = await new Promise<http.IncomingMessage>((resolve, reject) => {
        outgoing.on('information', onSignOfLife);
        outgoing.on('error', reject);
        outgoing.on('response', resolve);
        outgoing.end(request.body);
      });
      return await HomeClient.#read(response, request.key.homeIncarnation, onSignOfLife);
    } catch (error) {
      if (silent) {
        return { status: 'silent', reason: `no sign of life for ${this.#silenceMs} ms` };
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
    onSignOfLife: () => void,
  ): Promise<HomeAnswer> {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    for await (const chunk of response as AsyncIterable<Buffer>) {
      onSignOfLife();
      sizeBytes += chunk.length;
      if (sizeBytes > MAX_DELIVERED_ANSWER_BYTES) throw new Error('the answer is too large');
      chunks.push(chunk);
    }
    if (!response.complete) throw new Error('the answer was cut off');
    if (response.headers[HOME_HEADER] !== incarnation) {
      return { status: 'silent', reason: 'another process answers at the address of the home' };
    }
    return {
      status: 'answered',
      statusCode: response.statusCode ?? 502,
      headers: response.headers,
      body: Buffer.concat(chunks),
    };
  }
}
