/** Number of windows for which counts are kept; 120 s of windows of 5 s. */
export const MAX_WINDOWS = 24;

/** Maximum number of accounts in a window. */
export const MAX_ACCOUNTS = 1000;

/** Maximum number of node incarnations whose counts are kept; more than twice the planned 410 nodes. */
export const MAX_NODES = 1024;

/** Number of windows that a message may be ahead of the receiver's clock. */
export const MAX_WINDOWS_AHEAD = 2;

/** Time after the end of a window at which it is reported without the nodes that have not reported it, in ms. */
export const MAX_REPORT_WAIT_MS = 6000;
