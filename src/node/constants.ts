/** Program version, printed by `hyssoppulley version`. */
export const PROGRAM_VERSION = '0.1.0';

/** Response header with the outcome of a refused or failed request. */
export const OUTCOME_HEADER = 'x-hyssoppulley-outcome';

/** Request header in which a caller identifies itself. */
export const CALLER_HEADER = 'x-caller';

/** Request header for idempotency keys, from the IETF draft standard. */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';

/** Request header that marks a request forwarded by another node; such a request is not forwarded again. */
export const HOP_HEADER = 'x-hyssoppulley-hop';

/** Path prefix on the peer port for requests that are forwarded to their home or owner. */
export const FORWARD_PREFIX = '/forward';

/** Maximum size of a value in the platform's object API, in bytes. */
export const PLATFORM_MAX_VALUE_BYTES = 1_000_000;
