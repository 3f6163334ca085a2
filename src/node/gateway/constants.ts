/** Status by which a worker reports that it ran a request and that the request failed. */
export const REQUEST_FAILED_STATUS = 500;

/** Largest worker response that is buffered for validation before it is returned to the caller, in bytes. */
export const MAX_BUFFERED_RESPONSE_BYTES = 16 * 1024 * 1024;

/** Limit on the bytes of all responses that a node buffers at the same time; leaves most of a small VM's memory free. */
export const MAX_BUFFERED_RESPONSES_BYTES = 64 * 1024 * 1024;

/**
 * Time without bytes after which a stream continues at another worker, in ms: half of the shortest time after which the
 * platform's callers give up a silent stream.
 */
export const STREAM_STALL_MS = 1000;

/** Delay before an idempotent request is hedged to a second worker, as a fraction of the route's target latency. */
export const HEDGE_DELAY_FRACTION = 0.5;

/** Minimum hedge delay, in ms; a shorter one would hedge requests whose response is already on its way. */
export const MIN_HEDGE_DELAY_MS = 40;

/** Retries and hedged attempts of a route as a fraction of its requests; see `RetryBudget`. */
export const RETRY_BUDGET_FRACTION = 0.3;

/** Maximum number of refused attempts that are retried per request; a worker that refuses executes nothing. */
export const MAX_REFUSALS = 6;

/** Delay before the next attempt after a worker refused the request, in ms. */
export const REFUSAL_RETRY_DELAY_MS = 15;

/** Value of the `retry-after` hint when no worker was available, in ms. */
export const RETRY_AFTER_MS = 100;

/** Minimum remaining time budget for which a request is still sent to a worker, in ms. */
export const MIN_REMAINING_MS = 2;

/** Time a change may take to arrive from the platform before a node that lacks it reads the objects again, in ms. */
export const CHANGE_PROPAGATION_GRACE_MS = 250;
