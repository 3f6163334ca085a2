/** Load of one worker as this node knows it. */
export interface WorkerOccupancy {
  readonly slots: number;
  /** This node's requests, and those of others by a report that is not too old. */
  readonly load: number;
}

/** What this node believes about a pool. */
export interface PoolOccupancy {
  /** Workers that may receive requests. */
  readonly workers: readonly WorkerOccupancy[];
  /** This node's requests in flight on them. */
  readonly inFlight: number;
}

/**
 * How far the most urgent requests of a pool may fill a worker, as a multiple of its slots. With 1, slots were idle while
 * requests waited, since views lag; with 2, fewer were in time at 1.5 times the capacity (`bench/sharing.ts`). Others only take
 * free slots, so that an urgent request never waits behind a queue of them at a worker.
 */
const URGENT_FILL = 1.5;

/** Number of requests that the pool takes now. */
export const roomOf = ({ workers }: PoolOccupancy, isUrgent: boolean): number => {
  const fill = isUrgent ? URGENT_FILL : 1;
  return workers.reduce((sum, { slots, load }) => sum + Math.max(0, slots * fill - load), 0);
};

/** Part of the slots that scoring calls of finished texts may take when the pool is full of other work. */
const SCORING_SHARE = 1 / 12;

/** Number of scoring calls of this node that are admitted although the pool is full; at least one. */
export const scoringFloor = ({ workers }: PoolOccupancy): number =>
  Math.max(1, Math.floor(workers.reduce((sum, { slots }) => sum + slots, 0) * SCORING_SHARE));
