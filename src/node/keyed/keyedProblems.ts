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
  /** See RequestError. After `not-run` a new key is needed, after `unknown` the same one. */
  readonly retryAfterMs?: number;
}

/** Time in which a caller's next attempt may find another state, in ms. */
const RETRY_AFTER_MS = 1000;

const unavailable = (detail: string): ProblemText => ({
  statusCode: 503,
  detail: `${detail}; nothing ran, and the key never will: send the request with a new key`,
  retryAfterMs: RETRY_AFTER_MS,
});

const NOT_RUN: Readonly<Record<NotRunCode | 'home-silent', ProblemText>> = {
  'body-too-large': { statusCode: 413, detail: 'the body is larger than the pool accepts' },
  'home-silent': unavailable("the key's home does not answer and its witness has sealed the key"),
  'key-closed': unavailable('the key was refused before'),
  'key-expired': unavailable('the key expired before the request was sent to a worker'),
  'key-not-issued': {
    statusCode: 400,
    detail: 'the key prefix was altered; send the prefix from GET /v1/entries unchanged',
  },
  'no-route': { statusCode: 404, detail: "no non-idempotent route of the key's home matches" },
  'no-worker': unavailable('no worker of the pool takes requests'),
  'not-serving': unavailable("the key's home takes no new work now"),
  overloaded: unavailable('the workers of the pool, or the caller, have as much to do as they may'),
  'too-many-keys': unavailable('the home holds as many keys as it may'),
  'witness-full': unavailable("the key's witness holds as many keys as it may"),
  'witness-refused': unavailable("the key's witness was restarted, or has sealed or dropped it"),
  'witness-silent': unavailable("the key's witness does not answer"),
};

const UNKNOWN: Readonly<Record<UnknownCode | 'home-silent', ProblemText>> = {
  'answer-lost': {
    statusCode: 502,
    detail: 'the request was sent to a worker, which gave no whole answer; it may have run',
  },
  'answer-not-kept': {
    statusCode: 409,
    detail: 'the request ran before, and its answer is no longer kept',
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
    detail: 'the key came with another method, path or body before; that request may have run',
  },
  'too-many-repeats': {
    statusCode: 503,
    detail: 'too many repeats of the key wait for its request; send it again with the same key',
    retryAfterMs: RETRY_AFTER_MS,
  },
  'wrong-home': { statusCode: 421, detail: 'this node is not the home of the key' },
};

/** The problem document for a request that no worker's answer settles. */
export const keyedProblem = (
  outcome: 'not-run' | 'unknown',
  code: NotRunCode | UnknownCode | 'home-silent',
): ProblemFields & { readonly detail: string } => {
  const texts: Readonly<Record<string, ProblemText>> = outcome === 'not-run' ? NOT_RUN : UNKNOWN;
  const text = texts[code] ?? { statusCode: 500, detail: code };
  return { ...text, outcome, code };
};

/** Whether a worker may set a header. The others are the system's own. */
const isWorkersOwn = (name: string): boolean =>
  !name.startsWith('x-hyssoppulley-') &&
  name !== IDEMPOTENCY_KEY_HEADER &&
  name !== 'content-length';

/** Headers of a worker's answer that are passed on. */
const answerHeaders = (answer: CompleteResponse) =>
  Object.fromEntries(
    Object.entries(forwardHeaders(answer.headers)).filter(([name]) => isWorkersOwn(name)),
  );

/** Tells a caller how its request was settled. */
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
  const { answer } = settlement;
  const headers = answerHeaders(answer);
  // Answers of these kinds have no body, and RFC 9110 forbids the length in the first.
  const hasBody = answer.statusCode !== 204 && answer.statusCode !== 304;
  if (hasBody) headers['content-length'] = answer.body.byteLength;
  response.writeHead(answer.statusCode, headers);
  response.end(answer.body);
};
