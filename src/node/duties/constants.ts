/** Longest time from the sending of a call to its execution, in ms: the platform executes unanswered calls up to 12 s late. */
export const MAX_CALL_TRANSIT_MS = 12_000;

/** Longest time from the sending of a call to its arrival at a control API that is reachable, in ms. */
export const MAX_CALL_ARRIVAL_MS = 500;

/** Time in which a leaving holder releases its duty, in ms; covers two attempts of the write. */
export const RELEASE_GRACE_MS = 1000;

/** Time for which a stopping holder waits for the response to a call before it releases the duty, in ms. */
export const RELEASE_CALL_WAIT_MS = 500;

/** Key prefix under which the holders of duties are stored at the platform. */
export const DUTIES_PREFIX = 'duties/';

/** Interval between checks of the holder of a duty, in ms. */
export const DUTY_CHECK_INTERVAL_MS = 1000;
