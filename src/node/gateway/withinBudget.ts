import type { Clock } from '../../shared/clock.ts';
import type { ForwardedRequest } from './forwardedRequest.ts';

/**
 * Runs the attempts of a request. Their signal is aborted when the caller disconnects, when the time allowed for the
 * request is up, and at the end, so that no attempt is left behind.
 *
 * @param callerSignal - aborted when the caller disconnects
 */
export const withinBudget = async <T>(
  clock: Clock,
  request: Pick<ForwardedRequest, 'budgetMs' | 'sinceArrival'>,
  callerSignal: AbortSignal,
  run: (signal: AbortSignal) => Promise<T>,
): Promise<T> => {
  const abort = new AbortController();
  const cancel = () => abort.abort();
  callerSignal.addEventListener('abort', cancel, { once: true });
  const timeLeftMs = request.budgetMs - request.sinceArrival.elapsedMs();
  const timer = clock.schedule(Math.max(0, timeLeftMs), cancel);
  try {
    return await run(abort.signal);
  } finally {
    timer[Symbol.dispose]();
    callerSignal.removeEventListener('abort', cancel);
    abort.abort();
  }
};
