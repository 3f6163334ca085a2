import type { Attempt } from '../decisions/attemptGate.ts';
import type { WorkerEndpoint } from '../membership/membershipView.ts';
import type { HopSpan } from '../observability/tracing.ts';
import { MAX_ATTEMPTS } from './constants.ts';
import { requestError } from './problem.ts';
import type { HandlerDependencies, RequestContext } from './requestContext.ts';

/** An attempt in progress, with its worker and its span. */
export interface StartedAttempt {
  readonly attempt: Attempt;
  readonly worker: WorkerEndpoint;
  readonly span: HopSpan;
}

/** Why an attempt is made; `resume` continues a partly delivered generation. */
export type AttemptKind = 'first' | 'retry' | 'resume';

/**
 * Selects a worker and begins the next attempt. Earlier attempts are abandoned.
 *
 * @throws RequestError when the pool has no available worker
 */
export const beginAttempt = (
  context: RequestContext,
  dependencies: HandlerDependencies,
  kind: AttemptKind,
  prefixKeys: readonly string[] = [],
): StartedAttempt => {
  const { slot, pool, triedAddresses, gate, retryBudget } = context;
  const worker = slot.choose({ exclude: triedAddresses, prefixKeys });
  if (worker === undefined) {
    throw requestError(`pool ${pool.name} has no worker that takes requests`, {
      outcome: context.mayHaveRun ? 'failed' : 'not-run',
      statusCode: 503,
      code: 'no-worker',
      retryAfterMs: 1000,
    });
  }
  if (kind === 'first') retryBudget.recordFirstAttempt();
  triedAddresses.add(worker.address);
  dependencies.metrics.attempts.inc({ pool: pool.name, kind });
  const attempt = gate.begin();
  const span = dependencies.tracing.startSpan('worker', 'client', context.span.traceparent, {
    'hyssoppulley.attempt': attempt.number,
    'hyssoppulley.pool': pool.name,
    'hyssoppulley.worker': worker.name,
  });
  return { attempt, worker, span };
};

/**
 * Returns whether another attempt may be made. If so, the attempt is deducted from the route's retry budget.
 *
 * @param attemptsSinceProgress - failed attempts since the last one that delivered data, counting that one
 */
export const tryTakeRetry = (
  { scope, retryBudget }: RequestContext,
  attemptsSinceProgress: number,
): boolean =>
  scope.endedBy === undefined && attemptsSinceProgress < MAX_ATTEMPTS && retryBudget.tryTake();

/** Ends the attempt's span with an error and logs the failure. */
export const recordFailedAttempt = (
  context: RequestContext,
  { logger }: HandlerDependencies,
  { attempt, worker, span }: StartedAttempt,
  kind: string,
  message: string,
): void => {
  span.end(message);
  logger.warn('attempt-failed', {
    requestId: context.id,
    route: context.route.name,
    worker: worker.name,
    attempt: attempt.number,
    kind,
    message,
  });
};
