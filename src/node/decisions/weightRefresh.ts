/** Known state of a worker's weights for one model. */
export interface RefreshCandidate {
  readonly id: string;
  /** Version that the worker has loaded; undefined if it does not have the model. */
  readonly version: number | undefined;
  /** Whether a load order to this worker is in progress or its result is still unknown. */
  readonly busy: boolean;
  /** Whether the worker is loading weights or has recently been ordered to; counts towards `maxLoading`. */
  readonly loading: boolean;
  /** Number of runs of the model that a load would delay or continue under the new version. */
  readonly running: number;
}

export interface RefreshRequirements {
  /** Newest published version. */
  readonly newestVersion: number;
  /** Minimum version that the waiting runs require; 0 if none are waiting. */
  readonly neededVersion: number;
  /** Whether runs are waiting that idle workers could take. */
  readonly hasWaiting: boolean;
  /** Maximum number of workers that load concurrently. */
  readonly maxLoading: number;
}

/**
 * Selects the workers that load the newest version now. A worker whose version is too old for the waiting runs loads
 * immediately. One that can still serve them loads only when it is idle, so that the load takes no time from a step.
 */
export const workersToRefresh = (
  workers: readonly RefreshCandidate[],
  { newestVersion, neededVersion, hasWaiting, maxLoading }: RefreshRequirements,
): string[] => {
  const loadSlots = maxLoading - workers.filter(({ loading }) => loading).length;
  if (loadSlots <= 0) return [];
  const outdated = workers.filter(
    ({ version, busy }) => version !== undefined && version < newestVersion && !busy,
  );
  const isTooOld = ({ version = 0 }: RefreshCandidate) => version < neededVersion;
  const due = outdated.filter(
    (worker) => isTooOld(worker) || (worker.running === 0 && !hasWaiting),
  );
  return due
    .sort(
      (left, right) =>
        Number(isTooOld(right)) - Number(isTooOld(left)) || left.running - right.running,
    )
    .slice(0, loadSlots)
    .map(({ id }) => id);
};
