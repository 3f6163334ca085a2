import { hasTrialRoom, type PlacementWorker, type WaitingItem } from './itemPlacement.ts';

/** Why the suspicion that it ends workers keeps an item from starting. */
export type SuspicionHold = 'item-condemned' | 'batch-condemned' | 'batch-suspected';

/**
 * Why an item is at no worker although workers have free slots.
 *
 * - `run-not-ended`: its run was stopped or broke off, and has not ended at the dispatcher
 * - `outdated-view`: the dispatcher's view of the batches is too old to start runs
 * - `no-worker`: the pool has no worker that may get new work
 * - `weight-version`: no free worker has a weight version that may generate the item's text
 * - `item-suspected`: workers ended under the item, and it waits until the trials at the free workers have survived
 * - `request-limit`: the request limits of the free workers leave no room
 * - `not-placed`: a free worker is eligible, and still the item has not started
 */
export type HoldReason =
  | SuspicionHold
  | 'run-not-ended'
  | 'outdated-view'
  | 'no-worker'
  | 'weight-version'
  | 'item-suspected'
  | 'request-limit'
  | 'not-placed';

/** A worker of the item's pool that is sound and has a free slot. */
export interface FreeWorker extends Pick<PlacementWorker, 'trialRoom' | 'hasYoungTrial'> {
  /** Number of items that its request limit allows to start now. */
  readonly permits: number;
  /** Weight version of the item's model; undefined while the worker accepts no runs of it. */
  readonly version: number | undefined;
}

/** An item at no worker. */
export interface IdleItem {
  readonly isWaiting: boolean;
  readonly suspicion: SuspicionHold | undefined;
  /** How it must be placed because workers ended under it. */
  readonly trial: WaitingItem['suspicion'];
  /** Whether a run with this weight version may start or continue the item's text. */
  readonly allows: (version: number) => boolean;
}

export interface PoolState {
  readonly mayStartRuns: boolean;
  /** Number of workers that may get new work, free or not. */
  readonly usableWorkers: number;
  readonly free: readonly FreeWorker[];
}

/** Why an item is at no worker; undefined where every worker is busy, so that it waits for its turn. */
export const holdReason = (
  { isWaiting, suspicion, trial, allows }: IdleItem,
  { mayStartRuns, usableWorkers, free }: PoolState,
): HoldReason | undefined => {
  if (!isWaiting) return 'run-not-ended';
  if (usableWorkers === 0) return 'no-worker';
  if (suspicion !== undefined) return suspicion;
  if (free.length === 0) return undefined;
  if (!mayStartRuns) return 'outdated-view';
  const matching = free.filter(({ version }) => version !== undefined && allows(version));
  if (matching.length === 0) return 'weight-version';
  if (!matching.some((worker) => hasTrialRoom(worker, trial))) return 'item-suspected';
  return matching.every(({ permits }) => permits === 0) ? 'request-limit' : 'not-placed';
};
