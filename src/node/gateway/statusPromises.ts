/**
 * Statuses by which callers are told that a request has not run and never will. A worker that did not run a request states
 * this by other means; its status alone says nothing, e.g. when it fails part of its requests with 503 after running them.
 */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Whether callers take a response with this status as the promise that the request has not run. */
export const promisesNotRun = (statusCode: number): boolean => NOT_RUN_STATUSES.has(statusCode);
