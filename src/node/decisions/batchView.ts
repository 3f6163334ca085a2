/** What a dispatcher knows of the age of its view of the batches. */
export interface BatchViewState {
  /** Time since the last answered call for changes was sent, in ms; Infinity before the first. */
  readonly ageMs: number;
  /** Whether the platform does not answer this node. */
  readonly platformLost: boolean;
}

/**
 * Age from which a dispatcher begins no more runs, in ms. A batch may have been ended since, and the users' platform
 * allows 3 s until nothing of it begins; the run's way to its worker takes the rest.
 */
export const MAX_BATCH_VIEW_AGE_MS = 2600;

/**
 * Whether a dispatcher may begin runs. One that is late with its work may not have taken in the end of a batch. While the
 * platform answers nobody no batch is ended, so runs go on; a dispatcher that alone has lost it is replaced.
 */
export const mayBeginRuns = ({ ageMs, platformLost }: BatchViewState): boolean =>
  platformLost || ageMs < MAX_BATCH_VIEW_AGE_MS;
