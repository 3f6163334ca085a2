import { requestError } from '../dataPath/problem.ts';
import type { PullCheck } from '../decisions/sampleLedger.ts';

type RefusedRequest = ReturnType<typeof requestError>;

/** Cursor that a refused pull should be repeated with. Kept beside the error, which is shared by all requests. */
const cursors = new WeakMap<object, string>();

export const cursorOf = (error: object): string | undefined => cursors.get(error);

const REASONS: Record<Exclude<PullCheck['status'], 'accepted'>, string> = {
  'bad-cursor': 'the cursor was not made by this service; go on with the one in this answer',
  'other-fencing': 'the job has a new owner; pull again with the cursor in this answer',
  'stale-sequence': 'a pull with this or a larger pullSequence was seen; ignore this answer',
  behind: 'the samples at this cursor were acknowledged and are no longer kept',
  ahead: 'the cursor is beyond everything that was handed over',
};

/** Refusal of a pull; it has changed nothing. */
export const cursorRefusal = (
  status: Exclude<PullCheck['status'], 'accepted'>,
  cursor?: string,
): RefusedRequest => {
  const error = requestError(REASONS[status], {
    outcome: 'not-run',
    statusCode: 409,
    code: `pull-${status}`,
    retryAfterMs: cursor === undefined ? undefined : 0,
  });
  if (cursor !== undefined) cursors.set(error, cursor);
  return error;
};

/** Refusal by a node that does not own the job now. */
export const notOwner = (): RefusedRequest =>
  requestError('no node owns the job at the moment; try again', {
    outcome: 'not-run',
    statusCode: 503,
    code: 'no-owner',
    retryAfterMs: 1000,
  });

/** Refusal of a step that is not taken. */
export const refusedStep = (stepId: string, reason: 'different' | 'full'): RefusedRequest =>
  reason === 'different'
    ? requestError(`step ${stepId} was submitted before with other content; use a new stepId`, {
        outcome: 'not-run',
        statusCode: 409,
        code: 'step-differs',
      })
    : requestError('too many unfinished steps or bytes of prompts; pull samples first', {
        outcome: 'not-run',
        statusCode: 429,
        code: 'steps-full',
        retryAfterMs: 5000,
      });
