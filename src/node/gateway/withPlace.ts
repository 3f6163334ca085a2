import type { AdmissionGate, PlaceRequest } from './admissionGate.ts';
import type { StreamOutcome } from './forwardedRequest.ts';

type NotRun = Extract<StreamOutcome, { kind: 'not-run' }>;

/**
 * Runs the attempts of a request once it has a place in its pool. A request that is refused a place has not run; one that the
 * workers refuse gets the time after which the queue is expected to have a place.
 *
 * @param admission - where the request waits @default it is sent at once
 */
export const withPlace = async <T extends StreamOutcome>(
  admission: Pick<AdmissionGate, 'admit'> | undefined,
  request: PlaceRequest,
  run: () => Promise<T>,
): Promise<T | NotRun> => {
  if (admission === undefined) return run();
  const place = await admission.admit(request);
  if (place.kind === 'refused') {
    const { reason, retryAfterMs } = place;
    return { kind: 'not-run', reason, retryAfterMs };
  }
  try {
    const outcome = await run();
    if (outcome.kind !== 'not-run') return outcome;
    return { ...outcome, retryAfterMs: outcome.retryAfterMs ?? place.retryAfterMs() };
  } finally {
    place[Symbol.dispose]();
  }
};
