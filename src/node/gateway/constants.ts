/** Largest answer of a worker that is held to be checked before it is passed on, in bytes. */
export const MAX_BUFFERED_RESPONSE_BYTES = 16 * 1024 * 1024;

/** Longest time an idempotent request waits for one worker before a second one is tried, as a share of the target. */
export const HEDGE_DELAY_FRACTION = 0.5;

/** Least time before a second worker is tried, in ms; shorter waits would hedge requests that are on their way. */
export const MIN_HEDGE_DELAY_MS = 40;

/** Retries and second attempts of a route as a share of its requests; see `RetryBudget`. */
export const RETRY_BUDGET_FRACTION = 0.3;

/** Refusals by workers after which a request is given up, each of which ran nothing. */
export const MAX_REFUSALS = 6;

/** Time between two attempts when every worker refused the request, in ms. */
export const REFUSAL_RETRY_DELAY_MS = 15;

/** Hint to come back when no worker could be asked, in ms. */
export const RETRY_AFTER_MS = 100;

/** Least time left for which a request is sent to a worker, in ms. */
export const MIN_REMAINING_MS = 2;
