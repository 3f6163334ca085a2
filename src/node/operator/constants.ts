/**
 * Added to the isolation time and its margin to get the lifetime of a proposal, in ms (10 s in total by default). After
 * that time, another change may replace the proposal.
 */
export const PROPOSAL_SLACK_MS = 2000;

/**
 * Timeout of a change up to the write of its proposal, and again of the write that accepts it, in ms. A coordinator
 * that was paused and resumes after the timeout abandons the change, so that it cannot take effect after the operator
 * has received a refusal.
 */
export const PLATFORM_TIMEOUT_MS = 5000;

/** Delay before nodes that did not respond are called again, in ms. */
export const RETRY_INTERVAL_MS = 500;

/** Maximum number of nodes called concurrently. A call carries both tables, up to 1 MB. */
export const MAX_CONCURRENT_CALLS = 32;

/**
 * Time after first seeing a proposal at which a node that the coordinator has not called writes its confirmation to the
 * platform, in ms. A call takes a few ms, and the coordinator waits 8 s for the confirmation.
 */
export const CONFIRMATION_WRITE_DELAY_MS = 1000;

/** Key prefix of the platform objects that hold the confirmations of nodes that the coordinator did not reach. */
export const CONFIRMATIONS_PREFIX = 'confirmations/';
