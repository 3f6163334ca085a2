/** Timeout for connecting to a worker, in ms. Round trips take a few ms at most; 1 s allows for one lost SYN. */
export const CONNECT_TIMEOUT_MS = 1000;

/** Timeout for a short call to a worker (load, streams, cancel, order) and for a probe, in ms. */
export const SHORT_CALL_TIMEOUT_MS = 1000;

/** Timeout for transferring a KV cache from or to an engine, in ms. */
export const KV_CALL_TIMEOUT_MS = 30_000;

/** Largest response to a short call, in bytes. A list of 10,000 stream ids takes about 400 KB. */
export const MAX_SHORT_RESPONSE_BYTES = 1024 * 1024;

/** Largest server-sent event or unterminated line, in characters. An event carries a few tokens. */
export const MAX_EVENT_CHARS = 256 * 1024;

/** Maximum number of idle connections kept open to one worker. */
export const MAX_IDLE_SOCKETS_PER_WORKER = 16;

/** Request bodies up to this size are buffered until the response begins, so that a retry can send them again. */
export const MAX_REPLAYABLE_BODY_BYTES = 64 * 1024;

/**
 * Attempts of one request, including the first. A resumed generation counts from the last attempt that delivered
 * tokens. The retry budget usually ends retries earlier.
 */
export const MAX_ATTEMPTS = 3;

/** Longest time a request waits in the queue for a slot, in ms. The wait is also at most half the route's timeout. */
export const MAX_QUEUE_WAIT_MS = 5000;

/** Maximum number of informational responses (status 1xx) before the response to one request. */
export const MAX_INFORMATIONAL_RESPONSES = 8;
