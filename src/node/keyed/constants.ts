/** Path below FORWARD_PREFIX of keyed requests; the caller's own path follows. */
export const KEYED_FORWARD_PATH = '/keyed';

/** Incarnation of the home that answered a forwarded request; tells its answers from those of a later process. */
export const HOME_HEADER = 'x-hyssoppulley-home';

/** Marks the answer to a repeated key. */
export const REPEAT_HEADER = 'x-hyssoppulley-repeat';

/** Largest body of a keyed request. It is held in memory whole, so that a broken upload runs nothing. */
export const MAX_KEYED_BODY_BYTES = 1024 * 1024;

/** Largest answer that is delivered at all. A larger one has run, and is answered `unknown`. */
export const MAX_DELIVERED_ANSWER_BYTES = 8 * 1024 * 1024;

/** Largest answer that is kept for repeats, so that one request cannot push out many others' answers. */
export const MAX_KEPT_ANSWER_BYTES = 1024 * 1024;

/** Repeats of one key that may wait; each holds a connection. Far more than a caller's retries. */
export const MAX_WAITING_REPEATS = 32;

/** A home sends a sign of life this often within the time after which entries take it for silent. */
export const SIGNS_OF_LIFE_PER_TIMEOUT = 3;

/** Connections for forwarding kept open to one node. */
export const MAX_IDLE_FORWARD_SOCKETS = 64;
