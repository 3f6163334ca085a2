import type { ServerResponse } from 'node:http';
import { IDEMPOTENCY_KEY_HEADER } from '../constants.ts';
import { forwardHeaders } from '../dataPath/forwardHeaders.ts';
import { type ProblemFields, sendProblem } from '../dataPath/problem.ts';
import type {
  NotRunCode,
  Settlement,
  UnknownCode,
  CompleteResponse,
} from '../decisions/keyRecord.ts';
import { REPEAT_HEADER } from './constants.ts';

interface ProblemText {
  readonly statusCode: number;
  readonly detail: string;
  /** See `RequestError`. A retry needs a new key after `not-run` and the same key after `unknown`. */
  readonly retryAfterMs?: number;
}

/** Delay suggested to callers, after which a retry may find a different state, in ms. */
const RETRY_AFTER_MS = 1000;

const unavailable = (detail: string): ProblemText => ({
  statusCode: 503,
  detail: `${detail}; the request was not run and its key is closed: send it with a new key`,
  retryAfterMs: RETRY_AFTER_MS,
});

const NOT_RUN: Readonly<Record<NotRunCode | 'home-silent', ProblemText>> = {
  'body-too-large': { statusCode: 413, detail: 'the body exceeds the size limit of the pool' },
  'home-silent': unavailable("the key's home does not answer and the key's witness has sealed it"),
  'key-closed': unavailable('an earlier request with the key was refused'),
  'key-expired': unavailable('the key expired before the request was sent to a worker'),
  'key-not-issued': {
    statusCode: 400,
    detail: 'the key prefix was altered; send the prefix from GET /v1/entries unchanged',
  },
  'no-route': {
    statusCode: 404,
    detail: "no non-idempotent route at the key's home matches the request",
  },
  'no-worker': unavailable('no worker of the pool accepts requests'),
  'not-serving': unavailable("the key's home is not accepting new requests"),
  overloaded: unavailable('the concurrency or rate limit of the pool or the caller is reached'),
  'too-many-keys': unavailable('the home has reached its limit of keys'),
  'witness-full': unavailable("the key's witness has reached its limit of keys"),
  'witness-refused': unavailable(
    "the key's witness has restarted, or has sealed or dropped the key",
  ),
  'witness-silent': unavailable("the key's witness does not answer"),
};

const UNKNOWN: Readonly<Record<UnknownCode | 'home-silent', ProblemText>> = {
  'answer-lost': {
    statusCode: 502,
    detail: 'the request was sent to a worker, which returned no complete answer; it may have run',
  },
  'answer-not-kept': {
    statusCode: 409,
    detail: 'the request has already run, and its answer is no longer stored',
  },
  'home-silent': {
    statusCode: 504,
    detail: "the key's home does not answer; the request may have run",
    retryAfterMs: RETRY_AFTER_MS,
  },
  'key-expired': {
    statusCode: 410,
    detail: 'the key has expired; whether a request ran under it is no longer known',
  },
  'key-mismatch': {
    statusCode: 422,
    detail:
      'the key was used before with a different method, path or body; that request may have run',
  },
  'too-many-repeats': {
    statusCode: 503,
    detail: 'too many repeats are already waiting for the request; send it again with the same key',
    retryAfterMs: RETRY_AFTER_MS,
  },
  'wrong-home': { statusCode: 421, detail: 'this node is not the home of the key' },
};

/** Creates the problem document for a request that is settled without a worker's response. */
export const keyedProblem = (
  outcome: 'not-run' | 'unknown',
  code: NotRunCode | UnknownCode | 'home-silent',
): ProblemFields & { readonly detail: string } => {
  const texts: Readonly<Record<string, ProblemText>> = outcome === 'not-run' ? NOT_RUN : UNKNOWN;
  const text = texts[code] ?? { statusCode: 500, detail: code };
  return { ...text, outcome, code };
};

/** Whether a worker may set a header. The other headers are set by this service only. */
const isWorkerHeader = (name: string): boolean =>
  !name.startsWith('x-hyssoppulley-') &&
  name !== IDEMPOTENCY_KEY_HEADER &&
  name !== 'content-length';

/** Headers of a worker's response that are forwarded to the caller. */
const responseHeaders = (response: CompleteResponse) =>
  Object.fromEntries(
    Object.entries(forwardHeaders(response.headers)).filter(([name]) => isWorkerHeader(name)),
  );

/** Sends the settlement of a request to its caller. */
export const sendSettlement = (
  response: ServerResponse,
  settlement: Settlement,
  repeated: boolean,
): void => {
  if (repeated) response.setHeader(REPEAT_HEADER, 'true');
  if (settlement.outcome !== 'answered') {
    const problem = keyedProblem(settlement.outcome, settlement.code);
    sendProblem(response, problem.detail, problem);
    return;
  }
  const { response: workerResponse } = settlement;
  const headers = responseHeaders(workerResponse);
  // Responses with status 204 or 304 have no body, and RFC 9110 forbids a content length for 204.
  const hasBody = workerResponse.statusCode !== 204 && workerResponse.statusCode !== 304;
  if (hasBody) headers['content-length'] = workerResponse.body.byteLength;
  response.writeHead(workerResponse.statusCode, headers);
  response.end(workerResponse.body);
};
