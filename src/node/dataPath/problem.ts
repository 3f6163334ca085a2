import type { ServerResponse } from 'node:http';
import { BaseError } from '../../shared/errors.ts';
import { OUTCOME_HEADER } from '../constants.ts';

/**
 * Outcome of a request that was refused or failed. `not-run`: it did not run and never will. `failed`: it ran
 * and failed, or a part of its response was lost; an idempotent request may be sent again. `unknown`: it may have run.
 */
export type Outcome = 'not-run' | 'failed' | 'unknown';

/** A refused or failed request, as reported to the caller. */
export const RequestError = BaseError.subclass('RequestError', {
  props: {
    outcome: 'not-run' as Outcome,
    statusCode: 503,
    /** Stable, machine-readable error code. */
    code: 'unavailable',
    /** Delay after which to retry, in ms; undefined when a retry would not help. */
    retryAfterMs: undefined as number | undefined,
  },
});

export type RequestFailure = InstanceType<typeof RequestError>;

/** The fields of a `RequestError` that the caller sees. */
export interface ProblemFields {
  readonly outcome: Outcome;
  readonly statusCode: number;
  readonly code: string;
  readonly retryAfterMs?: number;
}

export const requestError = (
  message: string,
  { retryAfterMs, ...props }: ProblemFields,
  cause?: unknown,
): RequestFailure => new RequestError(message, { props: { ...props, retryAfterMs }, cause });

/** Body of a problem details response (RFC 9457). */
export const problemBody = (detail: string, fields: ProblemFields) => ({
  type: `urn:hyssoppulley:problem:${fields.code}`,
  title: fields.code,
  status: fields.statusCode,
  detail,
  outcome: fields.outcome,
  retryAfterMs: fields.retryAfterMs,
  // Extension member in the format that clients of the completions API expect.
  error: { message: detail, type: fields.outcome, code: fields.code },
});

/**
 * Sends a problem details response. If the response has already begun, the connection is destroyed instead, so that the
 * caller cannot take the response for complete.
 */
export const sendProblem = (
  response: ServerResponse,
  detail: string,
  fields: ProblemFields,
): void => {
  if (response.headersSent) {
    // The error event of a stream is still being flushed before its connection closes.
    if (!response.writableEnded && !response.socket?.writableEnded) response.destroy();
    return;
  }
  response.statusCode = fields.statusCode;
  // Otherwise Node would keep receiving the rest of a request body that is not read.
  if (!response.req.complete) response.setHeader('connection', 'close');
  response.setHeader('content-type', 'application/problem+json');
  response.setHeader(OUTCOME_HEADER, fields.outcome);
  if (fields.retryAfterMs !== undefined) {
    response.setHeader('retry-after', String(Math.ceil(fields.retryAfterMs / 1000)));
  }
  response.end(JSON.stringify(problemBody(detail, fields)));
};
