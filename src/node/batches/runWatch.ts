import { runsToRelocate } from '../decisions/runRelocation.ts';
import type { WeightLoads } from '../weights/weightLoads.ts';
import type { EngineWorkers } from './engineWorkers.ts';
import type { ItemRun } from './itemRun.ts';

/** Stops runs without an event for longer than `stallMs`; their items go on elsewhere. */
export const stopStalled = (runs: readonly ItemRun[], stallMs: number, nowMs: number): void => {
  for (const run of runs) if (run.silentMs(nowMs) > stallMs) run.stop('stalled');
};

/** Time for which a run stays where it began, in ms: reading its prompt again and again would slow every worker down. */
const MIN_STAY_MS = 500;

/** Stops runs on slow workers whose items would be done sooner at another worker with a free slot. */
export const leaveSlowWorkers = (
  runs: readonly ItemRun[],
  running: ReadonlyMap<string, number>,
  workers: Pick<EngineWorkers, 'isSlow' | 'freeSlots'>,
  weights: Pick<WeightLoads, 'versionOf'>,
): void => {
  const isSlow = (id: string) => workers.isSlow(id);
  if (![...running.keys()].some(isSlow)) return;
  const settled = runs.filter(({ elapsedMs }) => elapsedMs >= MIN_STAY_MS);
  const movable = settled.map((run) => ({
    run,
    worker: run.worker.id,
    mayGoTo: (id: string) => {
      const version = weights.versionOf(id, run.state.batch.record.model);
      return version !== undefined && run.state.text.allows(version);
    },
  }));
  for (const { run } of runsToRelocate(movable, isSlow, workers.freeSlots(running))) {
    run.stop('slow-worker');
  }
};
