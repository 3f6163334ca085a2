/** A run that could go on at another worker. */
export interface RelocatableRun {
  readonly worker: string;
  /** Whether a run on this worker may continue it. */
  readonly mayGoTo: (worker: string) => boolean;
}

/** Free slots of a worker with the usual pace. */
export interface FreeSlots {
  readonly id: string;
  readonly room: number;
}

/**
 * Chooses the runs that leave their slow workers, as many as find a free slot elsewhere. Continuing a run costs reading
 * its text once, which is far less than generating the rest at a fraction of the pace.
 */
export const runsToRelocate = <T extends RelocatableRun>(
  runs: Iterable<T>,
  isSlow: (worker: string) => boolean,
  free: readonly FreeSlots[],
): T[] => {
  const rooms = new Map(free.map(({ id, room }) => [id, room]));
  const moved: T[] = [];
  for (const run of runs) {
    if (!isSlow(run.worker)) continue;
    const target = [...rooms].find(([id, room]) => room > 0 && run.mayGoTo(id));
    if (target !== undefined) {
      rooms.set(target[0], target[1] - 1);
      moved.push(run);
    }
  }
  return moved;
};
