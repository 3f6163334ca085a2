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

/** Share of a pool that may load weights at the same time. With more, the weight store serves each more slowly. */
const MAX_LOADING_SHARE = 0.25;

/** Number of workers of any pool that may load at the same time, unless these are all. */
const MIN_LOADING_LIMIT = 2;

/**
 * Number of workers of a pool that may load weights at the same time. The weight store serves no fewer workers when a pool
 * has lost some of its own, and loads one after the other leave items waiting beside workers that only need the weights.
 */
export const loadLimitOf = (workers: number): number =>
  Math.max(Math.min(MIN_LOADING_LIMIT, workers - 1), Math.ceil(workers * MAX_LOADING_SHARE));
