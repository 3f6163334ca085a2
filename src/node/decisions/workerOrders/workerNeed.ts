import type { PoolDemand } from './poolDemand.ts';

/** Workers of a pool that serve now or will, by when they do. */
export interface Capacity {
  readonly serving: number;
  /** Ordered workers that do not serve yet. */
  readonly starting: number;
  /** Time from an order until the worker serves, in ms. */
  readonly startMs: number;
}

/** Number of workers that a pool needs, all zones together. */
export type WorkerNeed = (demand: PoolDemand, capacity: Capacity) => number;

/**
 * Factor on the steady load. Items of a step must start early, because one in ten takes five times as long as the others
 * and its length is not known; `docs/policies.md` compares other values.
 */
export const HEADROOM = 2;

/** The results must be complete this long before they are due, in ms, for scoring and storing them. */
const DUE_RESERVE_MS = 1000;

/** Shortest time for which capacity is computed, in ms; work that is already late would otherwise need any number. */
const MIN_HORIZON_MS = 1000;

/** Baseline for comparison: what there is. */
export const fixedNeed: WorkerNeed = (_, { serving, starting }) => serving + starting;

/** Baseline for comparison: a slot for each item that waits or runs. */
export const queueNeed: WorkerNeed = ({ slotsPerWorker, batches }) => {
  const items = batches.reduce(
    (sum, { waitingItems, runningItems }) => sum + waitingItems + runningItems,
    0,
  );
  return Math.ceil(items / slotsPerWorker);
};

/** Work due by each due time, the earliest first: `[time left in ms, slot-ms of all batches due by then]`. */
const cumulativeWork = ({ batches }: PoolDemand): [number, number][] => {
  const sorted = [...batches].sort((left, right) => left.dueInMs - right.dueInMs);
  let sumMs = 0;
  return sorted.map(({ dueInMs, workMs }) => {
    sumMs += workMs;
    return [dueInMs - DUE_RESERVE_MS, sumMs];
  });
};

/** Baseline for comparison: as many as complete the open batches by their due times. */
export const dueWorkNeed: WorkerNeed = (demand) =>
  Math.max(
    0,
    ...cumulativeWork(demand).map(([leftMs, workMs]) =>
      Math.ceil(workMs / Math.max(MIN_HORIZON_MS, leftMs) / demand.slotsPerWorker),
    ),
  );

/**
 * Workers beyond those that serve without which open batches would be late, counting only the time in which an added
 * worker serves before the work is due.
 */
export const shortfall = (demand: PoolDemand, { serving, startMs }: Capacity): number =>
  Math.max(
    0,
    ...cumulativeWork(demand).map(([leftMs, workMs]) => {
      const missingMs = workMs - serving * demand.slotsPerWorker * Math.max(0, leftMs);
      const helpsForMs = Math.max(MIN_HORIZON_MS, leftMs - startMs);
      return Math.ceil(missingMs / helpsForMs / demand.slotsPerWorker);
    }),
  );

/** The steady load with headroom, or more while open batches would otherwise be late. */
export const steadyNeed =
  (headroom = HEADROOM): WorkerNeed =>
  (demand, capacity) => {
    const steady = Math.ceil((demand.steadySlots * headroom) / demand.slotsPerWorker);
    const missing = shortfall(demand, capacity);
    return missing > 0 ? Math.max(steady, capacity.serving + missing) : steady;
  };
