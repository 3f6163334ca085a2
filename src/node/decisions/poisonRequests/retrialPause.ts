/** Time from the last end of a worker under what is condemned to its next trial, in ms, by the number of failed trials. */
export type RetrialPause = (failedTrials: number) => number;

/**
 * Pause of requests. The first is longer than callers take to come back, and short enough that a request which many callers
 * send is not refused for long after workers were lost by chance.
 */
export const requestRetrialPauseMs: RetrialPause = (failedTrials) =>
  6000 * 2 ** Math.max(0, failedTrials - 1);

/** Pause of items and batches under which workers ended without a failed trial, in ms: they were lost together with others. */
const NO_FAILED_TRIAL_PAUSE_MS = 1000;

/**
 * Pause of items and batches. Workers that are lost together are back or replaced within 4 s, and the results of a training
 * step can still be in time. The next pause is longer than a step, which has other trials when it begins and when its results
 * are due.
 */
export const itemRetrialPauseMs: RetrialPause = (failedTrials) =>
  failedTrials === 0 ? NO_FAILED_TRIAL_PAUSE_MS : 4000 * 10 ** (failedTrials - 1);
