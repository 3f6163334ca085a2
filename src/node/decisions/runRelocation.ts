/** A run that can be continued on another worker. */
export interface RelocatableRun {
  readonly worker: string;
  /** Whether the run may be continued on the given worker. */
  readonly canMoveTo: (worker: string) => boolean;
}

/** Number of free slots of a worker that is not slow. */
export interface FreeSlots {
  readonly id: string;
  readonly freeSlots: number;
}

/**
 * Selects the runs to move off slow workers, as many as there are suitable free slots elsewhere. Continuing a run costs
 * one prefill of its text, far less than generating the rest at a fraction of the usual speed.
 */
export const selectRunsToRelocate = <T extends RelocatableRun>(
  runs: Iterable<T>,
  isSlow: (worker: string) => boolean,
  free: readonly FreeSlots[],
): T[] => {
  const freeSlots = new Map(free.map(({ id, freeSlots: count }) => [id, count]));
  const relocated: T[] = [];
  for (const run of runs) {
    if (!isSlow(run.worker)) continue;
    const target = [...freeSlots].find(([id, count]) => count > 0 && run.canMoveTo(id));
    if (target !== undefined) {
      freeSlots.set(target[0], target[1] - 1);
      relocated.push(run);
    }
  }
  return relocated;
};

/** A run on a worker that has said when it stops. */
export interface LeavingRun extends RelocatableRun {
  /** Expected time until the run ends, in ms. */
  readonly expectedMs: number;
  /** Time until the worker stops, in ms. */
  readonly leavesInMs: number;
}

/**
 * Time before a worker stops at which its last runs are taken from it, in ms. The registration that names the time
 * arrives with a delay of about this length.
 */
const LEAVE_MARGIN_MS = 400;

/**
 * Selects the runs to take from workers that are about to stop. A run that cannot end there moves as soon as another
 * worker has a slot for it, the longest one first; until then it goes on. Shortly before the worker stops all others
 * are taken as well, so that they continue after their last event instead of breaking off.
 *
 * Addresses reclaims of all spot workers of a zone, with a notice of 2 to 3 s and runs of about 1 to 5 s.
 */
export const selectRunsToSave = <T extends LeavingRun>(
  runs: readonly T[],
  free: readonly FreeSlots[],
): T[] => {
  const isLast = ({ leavesInMs }: T) => leavesInMs <= LEAVE_MARGIN_MS;
  const tooLong = runs
    .filter((run) => !isLast(run) && run.expectedMs > run.leavesInMs - LEAVE_MARGIN_MS)
    .sort((left, right) => right.expectedMs - left.expectedMs);
  return [...runs.filter(isLast), ...selectRunsToRelocate(tooLong, () => true, free)];
};
