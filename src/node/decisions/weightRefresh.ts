/** A worker's weights of one model, as far as they are known. */
export interface WeightedWorker {
  readonly id: string;
  /** Version that the worker has; undefined: it does not have the model. */
  readonly version: number | undefined;
  /** An order to this worker is in progress, or its result is not known yet. */
  readonly busy: boolean;
  /** The worker loads weights, or has just been ordered to. */
  readonly loading: boolean;
  /** Runs of the model that would wait for the load or go on under the new version. */
  readonly running: number;
}

export interface RefreshNeeds {
  /** Newest version that was published. */
  readonly newestVersion: number;
  /** Version below which a worker cannot run what waits; 0 when nothing waits. */
  readonly neededVersion: number;
  /** Whether runs wait that idle workers could take. */
  readonly hasWaiting: boolean;
  /** Workers that may load at once. */
  readonly maxLoading: number;
}

/**
 * Chooses the workers that load the newest version now. A worker that is too old for what waits loads at once; one that
 * can still run what waits loads when it is idle, so that a load takes no time from a step.
 */
export const workersToRefresh = (
  workers: readonly WeightedWorker[],
  { newestVersion, neededVersion, hasWaiting, maxLoading }: RefreshNeeds,
): string[] => {
  const room = maxLoading - workers.filter(({ loading }) => loading).length;
  if (room <= 0) return [];
  const behind = workers.filter(
    ({ version, busy }) => version !== undefined && version < newestVersion && !busy,
  );
  const isTooOld = ({ version = 0 }: WeightedWorker) => version < neededVersion;
  const due = behind.filter((worker) => isTooOld(worker) || (worker.running === 0 && !hasWaiting));
  return due
    .sort(
      (left, right) =>
        Number(isTooOld(right)) - Number(isTooOld(left)) || left.running - right.running,
    )
    .slice(0, room)
    .map(({ id }) => id);
};
