import { type Clock, Stopwatch } from '../../shared/clock.ts';
import { placeItems } from '../decisions/items/itemPlacement.ts';
import type { EnginePool } from '../gateway/gatewayTables.ts';
import type { RegisteredWorker } from '../gateway/workerRegistry.ts';
import { MAX_PLACEMENT_TURN_MS } from './constants.ts';
import type { EnginePermits } from './enginePermits.ts';
import type { EngineWorkers } from './engineWorkers.ts';
import type { ItemRun } from './itemRun.ts';
import type { ItemState } from './itemState.ts';
import type { StaleViewGuard } from './staleViewGuard.ts';
import { countByWorker, type SuspectedItems } from './suspectedItems.ts';
import type { TextRestarts } from './textRestarts.ts';
import { toWaitingItem } from './waitingItem.ts';

export interface ItemPlacerOptions {
  readonly clock: Clock;
  readonly engine: () => EnginePool | undefined;
  readonly workers: Pick<EngineWorkers, 'forPlacement' | 'withFreeSlots'>;
  readonly permits: Pick<EnginePermits, 'ask'>;
  readonly suspected: Pick<SuspectedItems, 'verdictOf' | 'recentWorkers'>;
  readonly textRestarts: Pick<TextRestarts, 'restartHeldTexts'>;
  readonly viewGuard: Pick<StaleViewGuard, 'mayStartRuns'>;
  /** Schedules another placement. */
  readonly schedule: () => void;
  readonly startRun: (state: ItemState, worker: RegisteredWorker) => void;
}

/** Starts a dispatcher's waiting items on workers with free slots. */
export class ItemPlacer {
  readonly #options: ItemPlacerOptions;

  constructor(options: ItemPlacerOptions) {
    this.#options = options;
  }

  /**
   * @param waiting - items that may start, by key
   * @param runs - runs in progress
   * @param usable - workers that may receive new work
   */
  place(
    waiting: ReadonlyMap<string, ItemState>,
    runs: readonly ItemRun[],
    usable: readonly RegisteredWorker[],
  ): void {
    const { clock, engine, workers, suspected, textRestarts, viewGuard } = this.#options;
    const turn = new Stopwatch(clock);
    const running = countByWorker(runs);
    const suspectedOn = suspected.recentWorkers(runs);
    const placementWorkers = workers
      .forPlacement(running)
      .map((worker) => ({ ...worker, hasSuspected: suspectedOn.has(worker.id) }));
    textRestarts.restartHeldTexts(waiting.values(), placementWorkers);
    const tokensPerEvent = engine()?.tokensPerEvent ?? 1;
    const placements = placeItems(
      [...waiting].map(([key, state]) =>
        toWaitingItem(key, state, tokensPerEvent, suspected.verdictOf(state) === 'suspected'),
      ),
      placementWorkers,
    );
    const started = new Map(running);
    for (const { item, worker: workerId } of placements) {
      // On a small VM the starts of a large step take seconds, in which the view gets too old and nothing else is handled.
      if (!viewGuard.mayStartRuns()) return;
      if (turn.elapsedMs() > MAX_PLACEMENT_TURN_MS) {
        this.#options.schedule();
        return;
      }
      const state = waiting.get(item);
      const worker = usable.find(({ id }) => id === workerId);
      if (state !== undefined && worker !== undefined) {
        this.#options.startRun(state, worker);
        started.set(workerId, (started.get(workerId) ?? 0) + 1);
      }
    }
    const unplaced = waiting.size - placements.length;
    if (unplaced > 0) this.#askForPermits(unplaced, started);
  }

  /** Asks for permits to start waiting items on workers that have free slots but a request limit. */
  #askForPermits(waitingCount: number, running: ReadonlyMap<string, number>): void {
    const open = this.#options.workers.withFreeSlots(running);
    const freeSlots = open.reduce((sum, { freeSlots: free }) => sum + free, 0);
    const workers = open.map(({ worker }) => worker);
    const count = Math.min(waitingCount, freeSlots);
    void this.#options.permits.ask(workers, count, () => this.#options.schedule());
  }
}
