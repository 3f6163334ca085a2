import { type Clock, Stopwatch } from '../../shared/clock.ts';
import { BatchWorkEstimates } from '../decisions/batchWorkEstimates.ts';
import { loadLimitOf } from '../decisions/weightRefresh.ts';
import { assignWorkersToModels, mustShareWorkers } from '../decisions/workerAssignment.ts';
import type { EnginePool } from '../gateway/gatewayTables.ts';
import type { RegisteredWorker } from '../gateway/workerRegistry.ts';
import type { WeightLoads } from '../weights/weightLoads.ts';
import type { BatchState } from './batchState.ts';
import type { EngineWorkers } from './engineWorkers.ts';
import type { ItemRun } from './itemRun.ts';
import { countByWorker } from './suspectedItems.ts';
import { expectedTokens } from './waitingItem.ts';

/**
 * Time for which items of a model wait while its workers are full before idle workers of other models load its weights, in
 * ms. Below it, slots usually become free sooner than a load takes, and each load beyond a model's share has a price.
 */
const LEND_AFTER_MS = 1500;

export interface WeightRefresherOptions {
  readonly clock: Clock;
  readonly engine: () => EnginePool | undefined;
  readonly weights: WeightLoads;
  readonly workers: Pick<EngineWorkers, 'forAssignment'>;
  /** Newest published weight version of a model. */
  readonly newestVersion: (model: string) => number;
  /** Maximum number of workers that load weights at the same time. @default `loadLimitOf` the pool */
  readonly maxLoading?: number;
}

/** Counts the runs of each model on each worker. Keys have the form `WORKER/MODEL`. */
const countByModel = (runs: readonly ItemRun[]): Map<string, number> => {
  const running = new Map<string, number>();
  for (const { worker, state } of runs) {
    const key = `${worker.id}/${state.batch.record.model}`;
    running.set(key, (running.get(key) ?? 0) + 1);
  }
  return running;
};

/** Counts the waiting items of each model. */
const countWaiting = (open: readonly BatchState[]): Map<string, number> => {
  const waiting = new Map<string, number>();
  for (const { record, waiting: ofBatch } of open) {
    waiting.set(record.model, (waiting.get(record.model) ?? 0) + ofBatch.size);
  }
  return waiting;
};

/** The workers of a pool, its runs, and the number of waiting items of each model. */
interface PoolLoad {
  readonly workers: readonly RegisteredWorker[];
  readonly runs: readonly ItemRun[];
  readonly waiting: ReadonlyMap<string, number>;
}

/** Orders workers to load new weight versions. Each model's newest weights are loaded on its share of the workers. */
export class WeightRefresher {
  readonly #options: WeightRefresherOptions;

  /** Model assigned to each worker, by worker id. The worker loads the newest weights of that model. */
  #modelByWorker: ReadonlyMap<string, string> = new Map();

  readonly #workload = new BatchWorkEstimates();

  /** Started when items of a model waited and its workers were full, by model. */
  readonly #fullSince = new Map<string, Stopwatch>();

  constructor(options: WeightRefresherOptions) {
    this.#options = options;
  }

  /** Adds a new batch to the workload by which workers are assigned to models. */
  recordBatch({ record, items }: BatchState): void {
    const tokens = [...items.values()].reduce((sum, { item }) => sum + expectedTokens(item), 0);
    this.#workload.record(record.model, tokens);
  }

  /** @param open - batches that have not ended */
  refresh(
    workers: readonly RegisteredWorker[],
    open: readonly BatchState[],
    runs: readonly ItemRun[],
  ): void {
    const { weights, newestVersion, engine, maxLoading } = this.#options;
    const activeModels = (engine()?.models ?? []).filter(
      (model) => newestVersion(model) > 0 || open.some(({ record }) => record.model === model),
    );
    const running = countByModel(runs);
    const runningOf = (worker: string) => (model: string) => running.get(`${worker}/${model}`) ?? 0;
    const assignable = this.#options.workers.forAssignment(runningOf);
    const isShared = mustShareWorkers(activeModels, assignable);
    this.#modelByWorker = assignWorkersToModels(
      activeModels,
      assignable,
      this.#modelByWorker,
      (model) => this.#workload.meanTokens(model),
    );
    const loadLimit = maxLoading ?? loadLimitOf(workers.length);
    const waiting = countWaiting(open);
    const totalSlots = workers.reduce((sum, { slots }) => sum + (engine()?.slots ?? slots), 0);
    const meanSlots = Math.max(1, totalSlots / Math.max(1, workers.length));
    for (const model of this.#fullSince.keys()) {
      if (!activeModels.includes(model)) this.#fullSince.delete(model);
    }
    for (const model of activeModels) {
      const openOfModel = open.filter(({ record }) => record.model === model);
      const neededVersion = Math.max(0, ...openOfModel.map(({ record }) => record.minVersion));
      const own = isShared
        ? workers
        : workers.filter(({ id }) => this.#modelByWorker.get(id) === model);
      const lent = isShared
        ? []
        : this.#lentWorkers(model, neededVersion, { workers, runs, waiting });
      const candidates = new Set([...own, ...lent]);
      const waitingCount = waiting.get(model) ?? 0;
      const loadingOthers = workers.filter(
        (worker) => !candidates.has(worker) && weights.usesLoadSlot(worker.id),
      );
      weights.refresh(
        [...candidates],
        model,
        {
          newestVersion: newestVersion(model),
          neededVersion,
          hasWaiting: waitingCount > 0,
          maxLoading: Math.min(
            loadLimit - loadingOthers.length,
            lent.length > 0 ? Math.ceil(waitingCount / meanSlots) : Infinity,
          ),
          singleVersion: openOfModel.some(({ record }) => record.singleVersion),
        },
        (worker) => runningOf(worker)(model),
      );
    }
  }

  /** Idle workers of other models that load a model's weights, because its items wait and its workers are full. */
  #lentWorkers(
    model: string,
    neededVersion: number,
    { workers, runs, waiting }: PoolLoad,
  ): readonly RegisteredWorker[] {
    const { weights, engine, clock } = this.#options;
    const waitingCount = waiting.get(model) ?? 0;
    const running = countByWorker(runs);
    const slotsOf = ({ slots }: RegisteredWorker) => engine()?.slots ?? slots;
    const own = workers.filter(({ id }) => this.#modelByWorker.get(id) === model);
    const hasWeights = ({ id }: RegisteredWorker) =>
      (weights.versionOf(id, model) ?? -1) >= neededVersion;
    const isFull = workers.every(
      (worker) => !hasWeights(worker) || (running.get(worker.id) ?? 0) >= slotsOf(worker),
    );
    // After a new version, its own workers load first.
    const isLoaded = own.filter(hasWeights).length * 2 > own.length;
    if (waitingCount === 0 || !isFull || !isLoaded) {
      this.#fullSince.delete(model);
      return [];
    }
    const since = this.#fullSince.get(model) ?? new Stopwatch(clock);
    this.#fullSince.set(model, since);
    if (since.elapsedMs() < LEND_AFTER_MS) return [];
    return workers.filter(({ id }) => {
      const assigned = this.#modelByWorker.get(id) ?? model;
      return assigned !== model && !running.has(id) && (waiting.get(assigned) ?? 0) === 0;
    });
  }
}
