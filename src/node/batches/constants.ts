/** Time after which a submission whose items could not be stored is refused, in ms; the trainer tries another node. */
export const REFUSE_LIMIT_MS = 700;

/** Time for which the result of the write that accepts a batch is looked for, in ms. */
export const ACCEPT_LIMIT_MS = 1500;

/** Submissions whose items a node keeps in memory for a dispatcher on the same node. */
export const MAX_KEPT_SUBMISSIONS = 16;

/** Least time between two entries of a result log, in ms, unless a trainer waits for the results. */
export const LOG_INTERVAL_MS = 400;

/** Time for finding out what became of an entry of a result log before it is tried anew, in ms. */
export const LOG_WRITE_LIMIT_MS = 1000;

/** Time without an event after which a run is moved to another worker, as a multiple of the pool's usual gap. */
export const STALL_GAPS = 10;

/** Least and largest time without an event after which a run is moved, in ms. */
export const MIN_STALL_MS = 350;
export const MAX_STALL_MS = 3000;

/** Time for which a worker that did not run an item gets no other, in ms. */
export const REFUSAL_BACKOFF_MS = 40;

/** Time after which a broken run's worker gets work again, in ms. */
export const BROKEN_BACKOFF_MS = 250;

/** Time that a scoring call may take, in ms. */
export const SCORING_BUDGET_MS = 2000;

/** Time between two scoring calls after one that gave no answer, in ms. */
export const SCORING_RETRY_MS = 50;

/** Between looks for silent and slow workers, in ms: about two events of a run. */
export const TICK_MS = 50;

/** Between attempts to load a batch while the platform does not answer, in ms. */
export const LOAD_RETRY_MS = 250;

/** Time that the platform's news of a batch may take before the dispatcher lists the batches, in ms. */
export const NEWS_GRACE_MS = 100;

/** Wait of a dispatcher's calls for changes of batches, in ms: its view stays younger than `MAX_BATCH_VIEW_AGE_MS`. */
export const BATCHES_WAIT_MS = 1000;

/** Longest way of an order to its worker, in ms: a holder that waits longer for an answer has given the order up. */
export const ORDER_TRANSIT_MS = 250;

/** Between looks for batches whose results need no longer be kept, in ms. */
export const RETENTION_SWEEP_MS = 30_000;

/** Time for the answer of another node beyond the wait that it was asked for, in ms. */
export const PEER_READ_MARGIN_MS = 400;

/** Batches whose items a node keeps after reading them from the platform. */
export const MAX_CACHED_ITEM_BATCHES = 8;

/** Time for finding out whether the mark of an ended batch took effect, in ms; the trainer's own wait is longer. */
export const END_LIMIT_MS = 2000;

/** Attempts to mark a batch as ended; each may meet another change of its record. */
export const MAX_END_ATTEMPTS = 3;

/** Largest size of the results in one answer, in bytes. */
export const MAX_READ_BYTES = 900_000;

/** Status by which a worker says that an item failed this time, and that it can never be done. */
export const ITEM_FAILED = 500;
export const ITEM_IMPOSSIBLE = 422;

/** Share of a pool that loads weights at full speed; the weight store serves more of them more slowly. */
export const LOADING_SHARE = 0.25;

/** Between looks for texts that are worth keeping at the platform, in ms: what a killed dispatcher loses of each item. */
export const CHECKPOINT_INTERVAL_MS = 1500;

/** Rank of items at engines: behind the streams of callers, which have the default of 5 or less. */
export const ITEM_RANK = 5;
