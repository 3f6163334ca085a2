import type { ServerResponse } from 'node:http';
import type { Clock } from '../../shared/clock.ts';
import { FORWARD_PREFIX, IDEMPOTENCY_KEY_HEADER } from '../constants.ts';
import { headerOf, type RequestHandler } from '../dataPath/httpServer.ts';
import { RequestError, sendProblem } from '../dataPath/problem.ts';
import { KeyFormatError, parseIdempotencyKey } from '../decisions/idempotencyKey.ts';
import {
  HOME_HEADER,
  KEYED_FORWARD_PATH,
  MAX_KEYED_BODY_BYTES,
  KEEPALIVES_PER_TIMEOUT,
} from './constants.ts';
import { noTracing, type Tracing } from '../observability/tracing.ts';
import { withSpan, withTraceparent } from '../observability/withSpan.ts';
import { keyedProblem, sendSettlement } from './keyedProblems.ts';
import type { KeyedRuns } from './keyedRuns.ts';
import { readKeyedBody } from './readKeyedBody.ts';

const PREFIX = `${FORWARD_PREFIX}${KEYED_FORWARD_PATH}`;

/** Sends interim responses (status 102) until disposed, by which entries distinguish a slow worker from a dead home. */
const startKeepalive = (response: ServerResponse, clock: Clock, intervalMs: number): Disposable => {
  let timer: Disposable | undefined;
  const sendInterimResponse = () => {
    if (response.headersSent || response.destroyed) return;
    response.writeProcessing();
    timer = clock.schedule(intervalMs, sendInterimResponse);
  };
  sendInterimResponse();
  return { [Symbol.dispose]: () => timer?.[Symbol.dispose]() };
};

/**
 * Handles keyed requests that entries forward to this node as the home of the key. Requests whose key names another
 * home are refused and never forwarded again.
 *
 * @param idleTimeoutMs - time without a response or interim response after which entries give up on a home, in ms
 */
export const createForwardHandler =
  (
    runs: KeyedRuns,
    incarnation: string,
    clock: Clock,
    idleTimeoutMs: number,
    tracing: Tracing = noTracing,
  ): RequestHandler =>
  async (request, response) => {
    const url = request.url ?? '';
    if (!url.startsWith(`${PREFIX}/`)) return false;
    const keepalive = startKeepalive(response, clock, idleTimeoutMs / KEEPALIVES_PER_TIMEOUT);
    try {
      const key = parseIdempotencyKey(headerOf(request, IDEMPOTENCY_KEY_HEADER));
      if (key.homeIncarnation !== incarnation) {
        const problem = keyedProblem('unknown', 'wrong-home');
        sendProblem(response, problem.detail, problem);
        return true;
      }
      const body = await readKeyedBody(request, MAX_KEYED_BODY_BYTES, clock, idleTimeoutMs);
      const keyed = {
        key,
        method: request.method ?? 'GET',
        pathAndQuery: url.slice(PREFIX.length),
        body,
      };
      const { settlement, repeated } = await withSpan(
        tracing,
        { name: 'forwarded-request', kind: 'server', parent: request.headers.traceparent },
        (span) => runs.handle({ ...keyed, headers: withTraceparent(request.headers, span) }),
      );
      response.setHeader(HOME_HEADER, incarnation);
      sendSettlement(response, settlement, repeated);
    } catch (error) {
      const isRefusal = error instanceof RequestError || error instanceof KeyFormatError;
      if (!isRefusal) throw error;
      // The response lacks the home header, so the entry does not treat it as a settlement and asks the witness.
      sendProblem(response, 'the forwarded request could not be read', {
        outcome: 'unknown',
        statusCode: error instanceof RequestError ? error.statusCode : 400,
        code: 'forward-refused',
      });
    } finally {
      keepalive[Symbol.dispose]();
    }
    return true;
  };
