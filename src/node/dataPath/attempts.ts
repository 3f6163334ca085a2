import type { Attempt } from '../decisions/attemptGate.ts';
import type { WorkerEndpoint } from '../membership/membershipView.ts';
import type { HopSpan } from '../observability/tracing.ts';
import { MAX_ATTEMPTS } from './constants.ts';
import { requestError } from './problem.ts';
import type { HandlerServices, RequestContext } from './requestContext.ts';

export interface StartedAttempt {
  readonly attempt: Attempt;
  readonly worker: WorkerEndpoint;
  readonly span: HopSpan;
}

/** Why another attempt is made. */
export type AttemptKind = 'first' | 'retry' | 'resume';

/**
 * Chooses a worker and begins the next attempt; all earlier ones are abandoned.
 *
 * @throws RequestError when no worker takes requests
 */
export const beginAttempt = (
  context: RequestContext,
  services: HandlerServices,
  kind: AttemptKind,
  prefixKeys: readonly string[] = [],
): StartedAttempt => {
  const { slot, pool, tried, gate, budget } = context;
  const worker = slot.choose({ exclude: tried, prefixKeys });
  if (worker === undefined) {
    throw requestError(`pool ${pool.name} has no worker that takes requests`, {
      outcome: context.mayHaveRun ? 'failed' : 'not-run',
      statusCode: 503,
      code: 'no-worker',
      retryAfterMs: 1000,
    });
  }
  if (kind === 'first') budget.recordFirstAttempt();
  tried.add(worker.address);
  services.metrics.attempts.inc({ pool: pool.name, kind });
  const attempt = gate.begin();
  const span = services.tracing.start('worker', 'client', context.span.traceparent, {
    'hyssoppulley.attempt': attempt.number,
    'hyssoppulley.pool': pool.name,
    'hyssoppulley.worker': worker.name,
  });
  return { attempt, worker, span };
};

/**
 * Decides whether another attempt may be made, and takes it out of the route's budget.
 *
 * @param fruitless - attempts since the last one that made progress
 */
export const mayTryAgain = ({ scope, budget }: RequestContext, fruitless: number): boolean =>
  scope.endedBy === undefined && fruitless < MAX_ATTEMPTS && budget.tryTake();

/** Records that an attempt failed. */
export const recordFailedAttempt = (
  context: RequestContext,
  { logger }: HandlerServices,
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
