import { RequestError, requestError, type RequestFailure } from './problem.ts';
import type { RequestContext } from './requestContext.ts';

/**
 * Converts an error into the failure that is reported to the caller of an idempotent request. The outcome is `not-run`
 * only if no worker can have received any part of the request.
 */
export const toRequestFailure = (
  error: unknown,
  { scope, mayHaveRun, route }: Pick<RequestContext, 'scope' | 'mayHaveRun' | 'route'>,
): RequestFailure => {
  const outcome = mayHaveRun ? 'failed' : 'not-run';
  if (scope.endedBy === 'timeout') {
    return requestError(`the request exceeded the route's timeout of ${route.timeoutMs} ms`, {
      outcome,
      statusCode: 504,
      code: 'route-timeout',
      retryAfterMs: 1000,
    });
  }
  if (!(error instanceof RequestError)) {
    return requestError('internal error', {
      outcome,
      statusCode: 500,
      code: 'internal',
      retryAfterMs: 1000,
    });
  }
  if (error.code === 'worker-failed' && !mayHaveRun) {
    return requestError(`no worker of pool ${route.pool} could be reached`, {
      outcome,
      statusCode: 503,
      code: 'worker-unreachable',
      retryAfterMs: 1000,
    });
  }
  if (error.outcome === 'not-run' && mayHaveRun) {
    const { statusCode, code, retryAfterMs } = error;
    return requestError(error.message, { outcome, statusCode, code, retryAfterMs });
  }
  return error;
};
