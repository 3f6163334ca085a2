import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import { pipeline } from 'node:stream/promises';
import { receiveResponse } from '../../shared/responseHead.ts';
import { FORWARD_PREFIX, HOP_HEADER } from '../constants.ts';
import { forwardHeaders, forwardNodeHeaders } from '../dataPath/forwardHeaders.ts';
import { requestError } from '../dataPath/problem.ts';
import { type HopSpan, noTracing, type Tracing } from '../observability/tracing.ts';
import { withSpan, withTraceparent } from '../observability/withSpan.ts';

/** Maximum response time of an owner, in ms: the longest wait of a pull plus time for the transfer. */
const IDLE_TIMEOUT_MS = 25_000;

/** Forwards requests of trainers to the nodes that own their jobs. */
export class OwnerForwarder implements Disposable {
  readonly #agent = new http.Agent({ keepAlive: true, maxSockets: 64 });

  readonly #tracing: Tracing;

  constructor(tracing: Tracing = noTracing) {
    this.#tracing = tracing;
  }

  /**
   * @param address - peer address of the owner
   * @throws RequestError when the owner does not respond
   */
  forward(address: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { traceparent } = request.headers;
    const hop = { name: 'forward-to-owner', kind: 'client', parent: traceparent } as const;
    return withSpan(this.#tracing, hop, (span) => this.#forward(address, request, response, span));
  }

  async #forward(
    address: string,
    request: IncomingMessage,
    response: ServerResponse,
    span: HopSpan,
  ): Promise<void> {
    try {
      const ownerResponse = await this.#send(address, request, response, span);
      response.writeHead(
        ownerResponse.statusCode ?? 502,
        forwardNodeHeaders(ownerResponse.headers),
      );
      await pipeline(ownerResponse, response);
    } catch (error) {
      const neverSent = (error as { code?: string }).code === 'ECONNREFUSED';
      throw requestError(
        'the owner of the job did not answer; try again',
        {
          outcome: neverSent ? 'not-run' : 'unknown',
          statusCode: 503,
          code: 'owner-unreachable',
          retryAfterMs: 1000,
        },
        error,
      );
    }
  }

  [Symbol.dispose](): void {
    this.#agent.destroy();
  }

  #send(
    address: string,
    request: IncomingMessage,
    response: ServerResponse,
    span: HopSpan,
  ): Promise<IncomingMessage> {
    return new Promise((resolve, reject) => {
      const outgoing = http.request(`http://${address}${FORWARD_PREFIX}${request.url ?? '/'}`, {
        method: request.method,
        agent: this.#agent,
        headers: withTraceparent({ ...forwardHeaders(request.headers), [HOP_HEADER]: '1' }, span),
        timeout: IDLE_TIMEOUT_MS,
      });
      outgoing.on('timeout', () =>
        outgoing.destroy(new Error('the owner did not respond in time')),
      );
      outgoing.on('error', reject);
      receiveResponse(outgoing, resolve, reject);
      // Cancels the request when the trainer disconnects, so that the owner does not keep the pull waiting.
      response.on('close', () => outgoing.destroy());
      request.on('error', () => outgoing.destroy());
      request.pipe(outgoing);
    });
  }
}
