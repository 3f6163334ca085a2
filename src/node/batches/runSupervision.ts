import { selectRunsToRelocate, selectRunsToSave } from '../decisions/runRelocation.ts';
import type { WorkerRegistry } from '../gateway/workerRegistry.ts';
import type { WeightLoads } from '../weights/weightLoads.ts';
import type { EngineWorkers } from './engineWorkers.ts';
import type { ItemRun } from './itemRun.ts';
import { remainingTokens } from './waitingItem.ts';

/** Longest wait for the next event of a run, in ms. */
const MAX_EVENT_WAIT_MS = 6000;

/** Number of runs in a row that may stall because their workers do; several fail together in a zone. */
const SHORT_STALLED_RUNS = 4;

/**
 * Time without an event after which a run is stopped, in ms. Where every worker takes longer than `stallMs` to read the
 * prompt or to generate an event, no run would get on, and no gap of that length would be measured, so until the run is
 * steady the limit doubles with each further stalled run of the item.
 */
const stallLimitMs = ({ isSteady, state }: ItemRun, stallMs: number): number => {
  const doublings = Math.max(0, state.stalledRuns - SHORT_STALLED_RUNS + 1);
  return isSteady ? stallMs : Math.min(MAX_EVENT_WAIT_MS, stallMs * 2 ** doublings);
};

/** Stops runs that have had no event for too long, so that their items continue on other workers. */
export const stopStalledRuns = (runs: readonly ItemRun[], stallMs: number): void => {
  for (const run of runs) {
    if (run.silentMs > stallLimitMs(run, stallMs)) run.stop('stalled');
  }
};

/** Minimum time before a run may be moved, in ms. Moves read the prompt again, which slows down every worker. */
const MIN_RUN_BEFORE_MOVE_MS = 500;

const toRelocatable = (run: ItemRun, weights: Pick<WeightLoads, 'versionOf'>) => ({
  run,
  worker: run.worker.id,
  canMoveTo: (id: string) => {
    const version = weights.versionOf(id, run.state.batch.record.model);
    return version !== undefined && run.state.text.allows(version);
  },
});

export interface LeavingWorkersOptions {
  readonly registry: Pick<WorkerRegistry, 'leavesAtMs'>;
  readonly workers: Pick<EngineWorkers, 'eventGapMs' | 'freeSlots'>;
  readonly weights: Pick<WeightLoads, 'versionOf'>;
  readonly tokensPerEvent: number;
  /** Monotonic time. */
  readonly nowMs: number;
}

/**
 * Stops runs on workers that have said when they leave, if they cannot end there, so that their items continue elsewhere.
 *
 * @returns the stopped runs
 */
export const stopRunsOnLeavingWorkers = (
  runs: readonly ItemRun[],
  running: ReadonlyMap<string, number>,
  { registry, workers, weights, tokensPerEvent, nowMs }: LeavingWorkersOptions,
): ItemRun[] => {
  const leaving = runs.flatMap((run) => {
    const leavesAtMs = registry.leavesAtMs(run.worker.id);
    if (leavesAtMs === undefined || run.isStopped) return [];
    const events = remainingTokens(run.state, tokensPerEvent) / tokensPerEvent;
    const expectedMs = events * workers.eventGapMs;
    return [{ ...toRelocatable(run, weights), expectedMs, leavesInMs: leavesAtMs - nowMs }];
  });
  if (leaving.length === 0) return [];
  const saved = selectRunsToSave(leaving, workers.freeSlots(running)).map(({ run }) => run);
  for (const run of saved) run.stop('worker-leaving');
  return saved;
};

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
  const movable = longRunning.map((run) => toRelocatable(run, weights));
  for (const { run } of selectRunsToRelocate(movable, isSlow, workers.freeSlots(running))) {
    run.stop('slow-worker');
  }
};
