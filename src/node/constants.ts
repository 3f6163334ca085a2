/** Version of the program, shown by `hyssoppulley version`. */
export const PROGRAM_VERSION = '0.1.0';

/** Header that names the outcome of a refused or failed request. */
export const OUTCOME_HEADER = 'x-hyssoppulley-outcome';

/** Header by which a caller names itself. */
export const CALLER_HEADER = 'x-caller';

/** Header of the draft IETF standard for idempotency keys. */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';

/** Header that marks a request that another node has forwarded; it is not forwarded again. */
export const HOP_HEADER = 'x-hyssoppulley-hop';

/** Path prefix on the peer port of requests forwarded to their home or owner. */
export const FORWARD_PREFIX = '/forward';

/** Largest value that the platform's object API holds. */
export const PLATFORM_MAX_VALUE_BYTES = 1_000_000;
