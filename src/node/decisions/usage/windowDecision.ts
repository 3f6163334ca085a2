import { MAX_REPORT_WAIT_MS } from './constants.ts';

/** What the holder of the usage reports knows about a window that has no stored report. */
export interface WindowState {
  /** Time since the end of the window, in ms; negative before it. */
  readonly sinceEndMs: number;
  /** Number of nodes whose counts of the window are not complete. */
  readonly incompleteNodes: number;
  /** Whether some node has counted most of the window. */
  readonly covered: boolean;
}

/**
 * What to do with a window: `skip` means that it is never reported, because a report with less than half of its requests
 * would be inaccurate. Waits for all nodes as long as the report is still in time.
 */
export const decideWindow = ({
  sinceEndMs,
  incompleteNodes,
  covered,
}: WindowState): 'wait' | 'report' | 'skip' => {
  if (sinceEndMs < 0) return 'wait';
  if (sinceEndMs < MAX_REPORT_WAIT_MS && incompleteNodes > 0) return 'wait';
  if (covered) return 'report';
  // A node that kept the window may still answer.
  return sinceEndMs < MAX_REPORT_WAIT_MS ? 'wait' : 'skip';
};
