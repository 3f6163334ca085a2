import { selectRunsToRelocate } from '../decisions/runRelocation.ts';
import type { WeightLoads } from '../weights/weightLoads.ts';
import type { EngineWorkers } from './engineWorkers.ts';
import type { ItemRun } from './itemRun.ts';

/** Stops runs that have had no event for longer than `stallMs`, so that their items continue on other workers. */
export const stopStalledRuns = (runs: readonly ItemRun[], stallMs: number, nowMs: number): void => {
  for (const run of runs) if (run.sinceProgressMs(nowMs) > stallMs) run.stop('stalled');
};

/** Minimum time before a run may be moved, in ms. Moves read the prompt again, which slows down every worker. */
const MIN_RUN_BEFORE_MOVE_MS = 500;

/** Stops runs on slow workers if their items can continue on another worker with a free slot. */
export const stopSlowRuns = (
  runs: readonly ItemRun[],
  running: ReadonlyMap<string, number>,
  workers: Pick<EngineWorkers, 'isSlow' | 'freeSlots'>,
  weights: Pick<WeightLoads, 'versionOf'>,
): void => {
  const isSlow = (id: string) => workers.isSlow(id);
  if (![...running.keys()].some(isSlow)) return;
  const longRunning = runs.filter(({ elapsedMs }) => elapsedMs >= MIN_RUN_BEFORE_MOVE_MS);
  const movable = longRunning.map((run) => ({
    run,
    worker: run.worker.id,
    canMoveTo: (id: string) => {
      const version = weights.versionOf(id, run.state.batch.record.model);
      return version !== undefined && run.state.text.allows(version);
    },
  }));
  for (const { run } of selectRunsToRelocate(movable, isSlow, workers.freeSlots(running))) {
    run.stop('slow-worker');
  }
};
