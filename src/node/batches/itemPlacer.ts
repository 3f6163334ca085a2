import { type Clock, Stopwatch } from '../../shared/clock.ts';
import { longestFirst, placeItems, type WaitingItem } from '../decisions/items/itemPlacement.ts';
import { contend, neededWork, type StepOrder, sumOf } from '../decisions/items/stepOrder.ts';
import type { EnginePool } from '../gateway/gatewayTables.ts';
import type { RegisteredWorker } from '../gateway/workerRegistry.ts';
import type { Logger } from '../observability/logger.ts';
import type { Metrics } from '../observability/metrics.ts';
import type { BatchState } from './batchState.ts';
import { CONTENTION_CHECK_MS, MAX_PLACEMENT_TURN_MS } from './constants.ts';
import type { EnginePermits, PermitDemand } from './enginePermits.ts';
import type { EngineWorkers, LimitedWorker } from './engineWorkers.ts';
import type { ItemRun } from './itemRun.ts';
import type { ItemState } from './itemState.ts';
import type { StaleViewGuard } from './staleViewGuard.ts';
import { groupKeyOf, toStepStates } from './stepStates.ts';
import { countByWorker, type SuspectedItems } from './suspectedItems.ts';
import type { TextRestarts } from './textRestarts.ts';
import { toWaitingItem } from './waitingItem.ts';

export interface ItemPlacerOptions {
  readonly pool: string;
  readonly logger: Logger;
  readonly metrics: Pick<Metrics, 'stepsContend'>;
  /**
   * `byContention` completes more steps in the model of docs/policies.md, but puts a late step last, for which a trainer
   * and all its later steps wait (czujka-ops, day scale-1: a step lost after the loss of all nodes). It needs all waiting items,
   * not only those of each batch that may start next.
   *
   * @default by submission
   */
  readonly order?: StepOrder;
  readonly clock: Clock;
  readonly engine: () => EnginePool | undefined;
  readonly workers: Pick<EngineWorkers, 'eventGapMs' | 'forPlacement' | 'limitedWithFreeSlots'>;
  readonly permits: Pick<EnginePermits, 'ask'>;
  readonly suspected: Pick<SuspectedItems, 'suspicionOf' | 'trialsAt'>;
  readonly textRestarts: Pick<TextRestarts, 'restartHeldTexts'>;
  readonly viewGuard: Pick<StaleViewGuard, 'mayStartRuns'>;
  /** Schedules another placement. */
  readonly schedule: () => void;
  readonly startRun: (state: ItemState, worker: RegisteredWorker) => void;
}

/** The permits that items of one model need, on the workers whose weights at least one of them allows. */
const permitDemandOf = (
  items: readonly WaitingItem[],
  limited: readonly LimitedWorker[],
): PermitDemand => {
  const model = items[0]?.model ?? '';
  const versions = new Set(limited.flatMap(({ versionOf }) => versionOf(model) ?? []));
  const allowed = new Set(
    [...versions].filter((version) => items.some(({ allows }) => allows(version))),
  );
  const suitable = limited.filter(({ versionOf }) => allowed.has(versionOf(model) ?? Number.NaN));
  const freeSlots = suitable.reduce((sum, worker) => sum + worker.freeSlots, 0);
  return {
    workers: suitable.map(({ worker }) => worker),
    count: Math.min(items.length, freeSlots),
  };
};

/** Starts a dispatcher's waiting items on workers with free slots. */
export class ItemPlacer {
  readonly #options: ItemPlacerOptions;

  #isContended = false;

  /** Time since it was last found out whether steps contend. */
  #contentionChecked: Stopwatch | undefined;

  constructor(options: ItemPlacerOptions) {
    this.#options = options;
  }

  /**
   * @param open - batches that have not ended
   * @param waiting - items that may start, by key
   * @param runs - runs in progress
   * @param usable - workers that may receive new work
   */
  place(
    open: readonly BatchState[],
    waiting: ReadonlyMap<string, ItemState>,
    runs: readonly ItemRun[],
    usable: readonly RegisteredWorker[],
  ): void {
    const { clock, engine, workers, suspected, textRestarts, viewGuard } = this.#options;
    const turn = new Stopwatch(clock);
    const running = countByWorker(runs);
    const placementWorkers = workers
      .forPlacement(running)
      .map((worker) => ({ ...worker, ...suspected.trialsAt(worker.id) }));
    textRestarts.restartHeldTexts(waiting.values(), placementWorkers, running);
    const tokensPerEvent = engine()?.tokensPerEvent ?? 1;
    const freeSlots = placementWorkers.reduce((sum, worker) => sum + worker.freeSlots, 0);
    const ranks = this.#groupRanks(open, waiting.size > freeSlots, usable);
    const candidates = [...waiting].flatMap(([key, state]) => {
      const item = toWaitingItem(key, state, tokensPerEvent, suspected.suspicionOf(state));
      if (ranks === undefined) return [item];
      const rank = ranks.get(groupKeyOf(state));
      return rank === undefined ? [] : [{ ...item, batchRank: rank }];
    });
    const placements = placeItems(candidates, placementWorkers);
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
    const placed = new Set(placements.map(({ item }) => item));
    const unplaced = candidates.filter(({ key }) => !placed.has(key));
    if (unplaced.length > 0) this.#askForPermits(unplaced, waiting, started);
  }

  /**
   * Ranks of the groups that may start items, where not all waiting items can start; undefined where batches are ordered by their
   * submission. Also finds out whether steps contend.
   */
  #groupRanks(
    open: readonly BatchState[],
    hasMoreItems: boolean,
    usable: readonly RegisteredWorker[],
  ): ReadonlyMap<string, number> | undefined {
    const { clock, engine, workers, order, metrics, logger, pool } = this.#options;
    const checkedMs = this.#contentionChecked?.elapsedMs() ?? Infinity;
    if (!hasMoreItems || (order === undefined && checkedMs < CONTENTION_CHECK_MS)) return undefined;
    this.#contentionChecked = new Stopwatch(clock);
    const { tokensPerEvent = 1, slots } = engine() ?? {};
    const steps = toStepStates(open, {
      ...{ tokensPerEvent, eventGapMs: workers.eventGapMs, nowMs: clock.nowMs() },
    });
    const totalSlots = usable.reduce((sum, worker) => sum + (slots ?? worker.slots), 0);
    const isContended = contend(steps, totalSlots);
    if (isContended !== this.#isContended) {
      this.#isContended = isContended;
      metrics.stepsContend.set({ pool }, Number(isContended));
      const workMs = Math.round(sumOf(steps, neededWork));
      logger.info('steps-contend', {
        pool,
        contend: isContended,
        steps: steps.length,
        totalSlots,
        workMs,
      });
    }
    return order?.(steps, totalSlots);
  }

  /** Asks for permits to start waiting items on workers that have free slots but a request limit. */
  #askForPermits(
    unplaced: readonly WaitingItem[],
    waiting: ReadonlyMap<string, ItemState>,
    running: ReadonlyMap<string, number>,
  ): void {
    const { permits, workers, schedule } = this.#options;
    const limited = workers.limitedWithFreeSlots(running);
    if (limited.length === 0) return;
    const byBatch = Map.groupBy(
      [...unplaced].sort(longestFirst),
      ({ key }) => waiting.get(key)?.batch,
    );
    const demands = [...byBatch.values()].map((items) => permitDemandOf(items, limited));
    void permits.ask(demands, schedule);
  }
}
