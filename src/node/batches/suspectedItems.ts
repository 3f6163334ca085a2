import type { PoisonVerdict } from '../decisions/poisonRequests/poisonRequests.ts';
import { MAX_TRIAL_MS, type PoisonGuard } from '../poison/poisonGuard.ts';
import type { ItemRun } from './itemRun.ts';
import type { ItemState } from './itemState.ts';

export interface SuspectedItemsOptions {
  readonly pool: string;
  readonly poison: Pick<PoisonGuard, 'verdictOf' | 'recordBroken'>;
}

/** Counts the runs in progress on each worker. */
export const countByWorker = (runs: Iterable<ItemRun>): Map<string, number> => {
  const running = new Map<string, number>();
  for (const { worker } of runs) running.set(worker.id, (running.get(worker.id) ?? 0) + 1);
  return running;
};

/** Recognises items under which workers end. */
export class SuspectedItems {
  readonly #options: SuspectedItemsOptions;

  constructor(options: SuspectedItemsOptions) {
    this.#options = options;
  }

  verdictOf({ request }: ItemState): PoisonVerdict {
    return this.#options.poison.verdictOf(request);
  }

  /** Holds it against an item if the worker that broke off its run has ended. */
  recordBroken({ state, worker }: ItemRun, others: Iterable<ItemRun>): Promise<void> {
    const { poison, pool } = this.#options;
    return poison.recordBroken({
      ...{ request: state.request, worker, pool, trial: false },
      others: countByWorker(others).get(worker.id) ?? 0,
    });
  }

  /** Workers on which a suspected item has started so recently that it may still end them. */
  recentWorkers(runs: Iterable<ItemRun>): Set<string> {
    return new Set(
      [...runs]
        .filter(({ elapsedMs }) => elapsedMs < MAX_TRIAL_MS)
        .filter(({ state }) => this.verdictOf(state) === 'suspected')
        .map(({ worker }) => worker.id),
    );
  }
}
