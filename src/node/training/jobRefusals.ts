import { requestError } from '../dataPath/problem.ts';
import type { PullCheck } from '../decisions/sampleLedger.ts';

type RefusedRequest = ReturnType<typeof requestError>;

/** Cursors with which refused pulls should be retried. Stored outside the error, whose type all requests share. */
const cursors = new WeakMap<object, string>();

export const retryCursorOf = (error: object): string | undefined => cursors.get(error);

const PULL_DETAILS: Record<Exclude<PullCheck['status'], 'accepted'>, string> = {
  'bad-cursor':
    'the cursor was not issued by this service; continue with the cursor in this response',
  'other-fencing': 'the job has a new owner; pull again with the cursor in this response',
  'stale-sequence':
    'a pull with the same or a larger pullSequence was received; ignore this response',
  behind: 'the samples at this cursor were acknowledged and have been deleted',
  ahead: 'the cursor is beyond the last position that was handed over',
};

/** Creates the refusal of a pull, which has changed nothing. */
export const pullRefusal = (
  status: Exclude<PullCheck['status'], 'accepted'>,
  cursor?: string,
): RefusedRequest => {
  const error = requestError(PULL_DETAILS[status], {
    outcome: 'not-run',
    statusCode: 409,
    code: `pull-${status}`,
    retryAfterMs: cursor === undefined ? undefined : 0,
  });
  if (cursor !== undefined) cursors.set(error, cursor);
  return error;
};

/** Creates the refusal by a node that does not own the job now. */
export const noOwner = (): RefusedRequest =>
  requestError('no node currently owns the job; try again', {
    outcome: 'not-run',
    statusCode: 503,
    code: 'no-owner',
    retryAfterMs: 1000,
  });

/** Creates the refusal of a step submission. */
export const stepRefusal = (stepId: string, reason: 'different' | 'full'): RefusedRequest =>
  reason === 'different'
    ? requestError(
        `step ${stepId} was already submitted with different content; use a new stepId`,
        {
          outcome: 'not-run',
          statusCode: 409,
          code: 'step-differs',
        },
      )
    : requestError(
        'the limit of unfinished steps or of stored prompt bytes is reached; pull samples first',
        {
          outcome: 'not-run',
          statusCode: 429,
          code: 'steps-full',
          retryAfterMs: 5000,
        },
      );
