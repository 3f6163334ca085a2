/** Added to the isolation time and its margin: the time of a proposal before others may replace it, in ms (10 s). */
export const PROPOSAL_SLACK_MS = 2000;

/**
 * Limit in ms for a change up to its proposal, and again for reading back its accepting write. A paused coordinator
 * that resumes later gives the change up, so that it never takes effect after the operator was told of a refusal.
 */
export const PLATFORM_LIMIT_MS = 5000;

/** Between two rounds of asking nodes that did not answer, in ms. */
export const RETRY_INTERVAL_MS = 500;

/** Nodes asked at once. A call carries both tables, up to 1 MB. */
export const MAX_CALLS_AT_ONCE = 32;

/**
 * A node writes its confirmation to the platform when the coordinator has not asked it this long after the proposal
 * was seen, in ms. Asking takes a few ms, and the coordinator waits 8 s for the confirmation.
 */
export const WRITE_CONFIRMATION_AFTER_MS = 1000;

/** Prefix of the platform objects by which nodes confirm that the coordinator did not reach. */
export const CONFIRMATIONS_PREFIX = 'confirmations/';
