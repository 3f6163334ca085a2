/** Time to open a connection to a worker, in ms. A worker is at most a few ms away; 1 s covers one lost SYN. */
export const CONNECT_TIMEOUT_MS = 1000;

/** Time for a short call to a worker (load, streams, cancel, order), in ms. Also the time a probe may take. */
export const SHORT_CALL_TIMEOUT_MS = 1000;

/** Time for moving a KV cache from or to an engine, in ms. */
export const KV_CALL_TIMEOUT_MS = 30_000;

/** Largest answer to a short call, in bytes. A list of 10,000 stream names takes about 400 KB. */
export const MAX_SHORT_RESPONSE_BYTES = 1024 * 1024;

/** Largest server-sent event or unterminated line, in characters. Events hold a few tokens each. */
export const MAX_EVENT_CHARS = 256 * 1024;

/** Idle connections kept open to one worker. */
export const MAX_IDLE_SOCKETS_PER_WORKER = 16;

/** Bodies up to this size are kept until the answer begins so that they can be sent again. */
export const MAX_REPLAYABLE_BODY_BYTES = 64 * 1024;

/** Attempts of one request, the first included. The budget usually ends retries earlier. */
export const MAX_ATTEMPTS = 3;

/** Longest time that a caller's request waits for a slot, in ms; it is also at most half the route's timeout. */
export const MAX_QUEUE_WAIT_MS = 5000;
