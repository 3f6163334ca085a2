/** How up to date a dispatcher's view of the batches is. */
export interface BatchViewState {
  /** Time since the last answered request for batch changes was sent, in ms; Infinity before the first. */
  readonly ageMs: number;
  /** Whether the platform does not respond to this node. */
  readonly platformLost: boolean;
}

/**
 * View age from which a dispatcher starts no new runs, in ms. A batch may have been ended since the view was taken, and
 * the users' platform requires that no run of an ended batch starts after 3 s. The remaining 400 ms are for the run to
 * reach its worker.
 */
export const MAX_BATCH_VIEW_AGE_MS = 2600;

/**
 * Whether a dispatcher may start runs. A dispatcher with an outdated view may not know yet that a batch has ended. Runs
 * may start while the platform is lost: in a full outage no batch can be ended, and if only the dispatcher has lost the
 * platform, it is replaced.
 */
export const mayStartRuns = ({ ageMs, platformLost }: BatchViewState): boolean =>
  platformLost || ageMs < MAX_BATCH_VIEW_AGE_MS;
