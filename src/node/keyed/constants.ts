/** Path of keyed requests below FORWARD_PREFIX; the path of the caller's request follows. */
export const KEYED_FORWARD_PATH = '/keyed';

/** Incarnation of the home that responded, by which entries detect a later process at its address. */
export const HOME_HEADER = 'x-hyssoppulley-home';

/** Header that marks the response to an earlier request with the same key. */
export const REPEAT_HEADER = 'x-hyssoppulley-repeat';

/** Maximum body size of a keyed request. The body is buffered in full, so that an incomplete upload is never run. */
export const MAX_KEYED_BODY_BYTES = 1024 * 1024;

/** Maximum size of a response to deliver. A request with a larger response has run and gets `unknown`. */
export const MAX_DELIVERED_RESPONSE_BYTES = 8 * 1024 * 1024;

/** Maximum size of a response to keep for repeats, so that one request cannot evict the responses to many others. */
export const MAX_KEPT_RESPONSE_BYTES = 1024 * 1024;

/** Maximum number of waiting repeats of a key; each holds a connection. Far above the retries of a caller. */
export const MAX_WAITING_REPEATS = 32;

/** Number of interim responses that a home sends within the idle timeout of entries. */
export const KEEPALIVES_PER_TIMEOUT = 3;

/** Maximum number of idle connections for forwarding to one node. */
export const MAX_IDLE_FORWARD_SOCKETS = 64;
