/** Interval between checks for uploads, connections and responses that make no progress, in ms. */
export const SWEEP_INTERVAL_MS = 250;

/** A check that comes later than this after the one before, in ms, follows a pause of the process and ends nothing. */
export const MAX_SWEEP_GAP_MS = 1000;

/** Value of the `retry-after` hint when a request is refused for lack of memory or connections, in ms. */
export const MEMORY_RETRY_AFTER_MS = 1000;

/** Longest time for which a submission waits until others are decoded and stored, in ms; then it is refused. */
export const MAX_DECODE_WAIT_MS = 1000;

/** Interval between attempts to decode a submission that waits, in ms. */
export const DECODE_CHECK_INTERVAL_MS = 25;

/** Largest number of uploads that wait for memory; each holds up to two chunks of 64 KiB meanwhile. */
export const MAX_WAITING_UPLOADS = 32;

/** Time limits until the operator's limits are known, in ms: those that the platform documents. */
export const DEFAULT_HEAD_TIMEOUT_MS = 3000;
export const DEFAULT_IDLE_TIMEOUT_MS = 15_000;

/** Response bodies up to this size, in bytes, are not counted: the bound on connections limits them. */
export const UNCOUNTED_RESPONSE_BYTES = 16 * 1024;

/** Maximum size of a request body until the operator's desired state is known, in bytes. */
export const DEFAULT_MAX_BODY_BYTES = 1024 * 1024;
