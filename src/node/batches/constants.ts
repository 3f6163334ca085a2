/** Time limit for storing a submission's items, in ms; then it is refused and the trainer tries another node. */
export const ITEMS_WRITE_LIMIT_MS = 700;

/** Time limit for writing the batch record and determining the outcome, in ms from the start of the submission. */
export const RECORD_WRITE_LIMIT_MS = 1500;

/** Largest submission, in bytes, that is kept in memory for a dispatcher that this node may become. */
export const MAX_KEPT_SUBMISSION_BYTES = 4 * 1024 * 1024;

/** Parts of a submission that are encoded and written at the same time. */
export const MAX_PART_WRITES = 8;

/**
 * Minimum interval between two entries of a result log, in ms. Does not apply while a trainer waits for the results.
 */
export const LOG_WRITE_INTERVAL_MS = 400;

/** Time limit for writing a result log entry and determining the outcome, in ms; then the write is retried. */
export const LOG_WRITE_LIMIT_MS = 1000;

/** Time without an event after which a run is moved, as a multiple of the pool's typical gap between events. */
export const STALL_GAP_FACTOR = 10;

/** Lower and upper bound of the time without an event after which a run is moved, in ms. */
export const MIN_STALL_MS = 350;
export const MAX_STALL_MS = 3000;

/** Time for which a worker that rejected or failed an item gets no further items, in ms. */
export const REJECTION_BACKOFF_MS = 40;

/** Time for which a worker whose run broke before its first event gets no further items, in ms. */
export const BROKEN_STREAM_BACKOFF_MS = 250;

/** Time budget of a scoring call, in ms. */
export const SCORING_BUDGET_MS = 2000;

/** First and longest delay before a scoring call that received no score is repeated, in ms. */
export const SCORING_RETRY_MS = 50;
export const MAX_SCORING_RETRY_MS = 400;

/** Interval between checks for silent and slow workers, in ms. A run produces about two events in this time. */
export const RUN_CHECK_INTERVAL_MS = 50;

/** Shortest time in which the dispatcher's process did not run that is logged, in ms: workers count as silent after about it. */
export const MIN_REPORTED_PAUSE_MS = 250;

/** Delay between attempts to load a batch while the platform does not respond, in ms. */
export const BATCH_LOAD_RETRY_MS = 250;

/** Time for which a node that heard that a dispatcher has no memory for further batches refuses submissions, in ms. */
export const FULL_POOL_MS = 1000;

/** Interval between attempts to find room for the items of a batch that waits to be loaded, in ms. */
export const LOAD_ROOM_CHECK_INTERVAL_MS = 100;

/**
 * Longest time for which a new dispatcher starts no runs because open batches are still being loaded, in ms: several round
 * trips to the platform. The items of the batches that are loaded wait meanwhile.
 */
export const MAX_FIRST_LOAD_MS = 300;

/** Bounds of the delay between attempts of a starting node to list the open batches, in ms. */
export const OPEN_BATCHES_BACKOFF = { baseMs: 250, maxMs: 4000 };

/** Time for the watch to report a batch change that another node announced, in ms; then the batches are listed. */
export const BATCH_CHANGE_GRACE_MS = 100;

/** Long-poll time for batch changes, in ms. Keeps the dispatcher's view younger than `MAX_BATCH_VIEW_AGE_MS`. */
export const BATCHES_LONG_POLL_MS = 1000;

/** Longest time an order takes to reach its worker, in ms; the sender abandons an order unanswered for longer. */
export const MAX_ORDER_TRANSIT_MS = 250;

/** Interval between sweeps that remove batches past their result retention, in ms. */
export const RETENTION_SWEEP_INTERVAL_MS = 30_000;

/** Largest size of the items of all batches that have not been read for `MIN_UNREAD_MS`, in bytes. */
export const MAX_UNREAD_BATCH_BYTES = 1024 ** 3;

/** Time without a read from which the size of an open batch counts, in ms: longer than a restart of its trainer takes. */
export const MIN_UNREAD_MS = 1_800_000;

/** How long the record of an abandoned batch is kept, so that its trainer learns what happened, in ms. */
export const ABANDONED_RECORD_RETENTION_MS = 7 * 24 * 3_600_000;

/** Time allowed for a peer's response in addition to the requested wait, in ms. */
export const PEER_READ_MARGIN_MS = 400;

/** Interval between reads from the dispatcher while the platform has not responded, in ms. It usually takes under 100 ms. */
export const DISPATCHER_READ_RETRY_MS = 200;

/** Parts that are read at the same time in search of an item. */
export const MAX_PART_READS = 4;

/** Time limit for determining whether a batch was marked as ended, in ms. Shorter than the trainer's own timeout. */
export const END_WRITE_LIMIT_MS = 2000;

/** Attempts to mark a batch as ended. Each can conflict with another change of the batch record. */
export const MAX_END_ATTEMPTS = 3;

/** Maximum size of the results in one response, in bytes. */
export const MAX_READ_BYTES = 900_000;

/** Time after a failed read of a body before it is read again, in ms. */
export const BODY_RETRY_MS = 250;

/** Method of the requests by which items are run. */
export const ITEM_REQUEST_METHOD = 'POST';

/** Status code by which a worker reports that the item can never be completed. */
export const ITEM_UNPROCESSABLE_STATUS = 422;

/**
 * Interval between progress checkpoints, in ms. A killed dispatcher loses up to this much work on each item, and as much as
 * `MIN_EVENTS_TO_CHECKPOINT` take on one that has no checkpoint yet.
 */
export const CHECKPOINT_INTERVAL_MS = 750;

/** Priority of batch items at model engines: the default. Callers' streams have this priority or a more urgent one. */
export const ITEM_ENGINE_PRIORITY = 5;

/** Interval between checks whether steps contend for the slots of a pool, in ms. */
export const CONTENTION_CHECK_MS = 1000;

/** Longest time for which a dispatcher starts runs without handling anything else, in ms. */
export const MAX_PLACEMENT_TURN_MS = 100;

/** Interval between checks for items that are at no worker although workers are free, in ms. */
export const HELD_ITEMS_CHECK_INTERVAL_MS = 1000;

/** Time at no worker from which an item is reported, in ms. Placements of a busy pool take less. */
export const MIN_HELD_MS = 2000;

/** Shortest time between two reports of one batch for the same reason, in ms. */
export const HELD_ITEMS_LOG_INTERVAL_MS = 5000;

/**
 * Interval between checks for batches whose pool has lost its last worker after their route moved, in ms. Such items run nowhere,
 * and the users' platform counts one that is at no worker for 5 s as left.
 */
export const BATCH_MOVE_CHECK_INTERVAL_MS = 250;

/** Time limit for moving a batch and determining the outcome, in ms; then the move is decided anew. */
export const MOVE_WRITE_LIMIT_MS = 1000;
