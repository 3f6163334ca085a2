import { BatchWorkEstimates } from '../decisions/batchWorkEstimates.ts';
import { assignWorkersToModels } from '../decisions/workerAssignment.ts';
import type { EnginePool } from '../gateway/gatewayTables.ts';
import type { RegisteredWorker } from '../gateway/workerRegistry.ts';
import type { WeightLoads } from '../weights/weightLoads.ts';
import type { BatchState } from './batchState.ts';
import { MAX_LOADING_SHARE } from './constants.ts';
import type { EngineWorkers } from './engineWorkers.ts';
import type { ItemRun } from './itemRun.ts';
import { expectedTokens } from './waitingItem.ts';

export interface WeightRefresherOptions {
  readonly engine: () => EnginePool | undefined;
  readonly weights: WeightLoads;
  readonly workers: Pick<EngineWorkers, 'forAssignment'>;
  /** Newest published weight version of a model. */
  readonly newestVersion: (model: string) => number;
  /** Maximum number of workers that load weights at the same time. @default `MAX_LOADING_SHARE` of the pool */
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

/** Orders workers to load new weight versions. Each model's newest weights are loaded on its share of the workers. */
export class WeightRefresher {
  readonly #options: WeightRefresherOptions;

  /** Model assigned to each worker, by worker id. The worker loads the newest weights of that model. */
  #modelByWorker: ReadonlyMap<string, string> = new Map();

  readonly #workload = new BatchWorkEstimates();

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
    this.#modelByWorker = assignWorkersToModels(
      activeModels,
      this.#options.workers.forAssignment(runningOf),
      this.#modelByWorker,
      (model) => this.#workload.meanTokens(model),
    );
    const loadLimit = maxLoading ?? Math.ceil(workers.length * MAX_LOADING_SHARE);
    const loadsOtherModel = ({ id }: RegisteredWorker, model: string) =>
      weights.usesLoadSlot(id) && this.#modelByWorker.get(id) !== model;
    for (const model of activeModels) {
      const openOfModel = open.filter(({ record }) => record.model === model);
      weights.refresh(
        workers.filter(({ id }) => this.#modelByWorker.get(id) === model),
        model,
        {
          newestVersion: newestVersion(model),
          neededVersion: Math.max(0, ...openOfModel.map(({ record }) => record.minVersion)),
          hasWaiting: openOfModel.some((batch) =>
            [...batch.items.values()].some(({ phase }) => phase === 'waiting'),
          ),
          maxLoading: loadLimit - workers.filter((worker) => loadsOtherModel(worker, model)).length,
          singleVersion: openOfModel.some(({ record }) => record.singleVersion),
        },
        (worker) => runningOf(worker)(model),
      );
    }
  }
}
