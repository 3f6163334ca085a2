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
