/** A text whose events come from one weight version, as its batch requires, and that no free worker can continue. */
export interface HeldText {
  /** Weight version of its events. */
  readonly version: number;
  readonly eventCount: number;
  /** Time for which no free worker could continue it, in ms. */
  readonly heldMs: number;
}

/** Longest wait of a text for a worker with its version, in ms, however long it is. */
export const MAX_HELD_TEXT_MS = 2000;

/**
 * Whether a text is given up, so that its item starts anew on a worker with another version. A text waits for a worker
 * with its version at most for as long as its events take to generate again, and not at all when every worker has passed
 * that version: versions only rise.
 *
 * @param workerVersions - versions that the pool's workers have or are loading
 * @param eventGapMs - typical time between two events
 */
export const mustRestartText = (
  { version, eventCount, heldMs }: HeldText,
  workerVersions: readonly number[],
  eventGapMs: number,
): boolean =>
  workerVersions.every((workerVersion) => workerVersion > version) ||
  heldMs >= Math.min(MAX_HELD_TEXT_MS, eventCount * eventGapMs);
