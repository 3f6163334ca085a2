import type { ServerResponse } from 'node:http';
import { BaseError } from '../../shared/errors.ts';
import { OUTCOME_HEADER } from '../constants.ts';

/**
 * What a caller may conclude from a refusal or failure. `not-run`: it did not run and never will. `failed`: it ran and
 * failed, or a part of the answer was lost; an idempotent request may be sent again. `unknown`: it may have run.
 */
export type Outcome = 'not-run' | 'failed' | 'unknown';

/** A refused or failed request, as the caller is told. */
export const RequestError = BaseError.subclass('RequestError', {
  props: {
    outcome: 'not-run' as Outcome,
    statusCode: 503,
    /** Stable machine-readable name of the cause. */
    code: 'unavailable',
    /** When to try again, in ms; undefined: trying again does not help. */
    retryAfterMs: undefined as number | undefined,
  },
});

export type RequestFailure = InstanceType<typeof RequestError>;

export interface ProblemFields {
  readonly outcome: Outcome;
  readonly statusCode: number;
  readonly code: string;
  readonly retryAfterMs?: number;
}

/** Makes a RequestError. */
export const requestError = (
  message: string,
  { retryAfterMs, ...props }: ProblemFields,
  cause?: unknown,
): RequestFailure => new RequestError(message, { props: { ...props, retryAfterMs }, cause });

/** Body of a problem document (RFC 9457). */
export const problemBody = (detail: string, fields: ProblemFields) => ({
  type: `urn:hyssoppulley:problem:${fields.code}`,
  title: fields.code,
  status: fields.statusCode,
  detail,
  outcome: fields.outcome,
  retryAfterMs: fields.retryAfterMs,
  // Extension member in the form that clients of the completions interface read.
  error: { message: detail, type: fields.outcome, code: fields.code },
});

/** Sends a problem document. Destroys the connection when the answer has begun, so that it cannot pass for whole. */
export const sendProblem = (
  response: ServerResponse,
  detail: string,
  fields: ProblemFields,
): void => {
  if (response.headersSent) {
    // A stream that ended with an error event is left to be flushed.
    if (!response.writableEnded) response.destroy();
    return;
  }
  response.statusCode = fields.statusCode;
  // The rest of a body that nobody reads would otherwise be received to the end.
  if (!response.req.complete) response.setHeader('connection', 'close');
  response.setHeader('content-type', 'application/problem+json');
  response.setHeader(OUTCOME_HEADER, fields.outcome);
  if (fields.retryAfterMs !== undefined) {
    response.setHeader('retry-after', String(Math.ceil(fields.retryAfterMs / 1000)));
  }
  response.end(JSON.stringify(problemBody(detail, fields)));
};
