import { type Clock, Stopwatch } from '../../shared/clock.ts';
import { type HoldReason, holdReason, type PoolState } from '../decisions/items/holdReason.ts';
import type { Logger } from '../observability/logger.ts';
import type { Metrics } from '../observability/metrics.ts';
import type { BatchState } from './batchState.ts';
import { HELD_ITEMS_LOG_INTERVAL_MS, MIN_HELD_MS } from './constants.ts';
import type { EngineWorkers } from './engineWorkers.ts';
import type { ItemRun } from './itemRun.ts';
import type { ItemState } from './itemState.ts';
import type { StaleViewGuard } from './staleViewGuard.ts';
import { countByWorker, type SuspectedItems } from './suspectedItems.ts';

export interface HeldItemsOptions {
  readonly pool: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Pick<Metrics, 'itemsHeld'>;
  readonly workers: Pick<EngineWorkers, 'usable' | 'withFreeSlots' | 'permitsOf' | 'versionOf'>;
  readonly suspected: Pick<SuspectedItems, 'holdOf' | 'suspicionOf' | 'trialsAt' | 'youngRuns'>;
  readonly viewGuard: Pick<StaleViewGuard, 'mayStartRuns'>;
}

/** Items of one batch that are held for the same reason. */
interface HeldGroup {
  readonly batch: BatchState;
  readonly reason: HoldReason;
  readonly items: ItemState[];
  oldestMs: number;
}

/** Reports items of open batches that are at no worker for seconds although workers have free slots, and why. */
export class HeldItems implements Disposable {
  readonly #options: HeldItemsOptions;

  /** Started when an item was first found at no worker. */
  readonly #idleSince = new WeakMap<ItemState, Stopwatch>();

  /** Time since the last line of a batch and reason. */
  readonly #logged = new Map<string, Stopwatch>();

  /** Reasons that the metric has values for. */
  readonly #reported = new Set<HoldReason>();

  constructor(options: HeldItemsOptions) {
    this.#options = options;
  }

  /** Records that an item starts at a worker. */
  recordStart(state: ItemState): void {
    this.#idleSince.delete(state);
  }

  /**
   * Reports the items that are held now.
   *
   * @param open - batches that have not ended
   * @param runs - runs in progress, by item
   */
  report(open: readonly BatchState[], runs: ReadonlyMap<ItemState, ItemRun>): void {
    const groups = this.#findHeld(open, runs);
    this.#setMetric(groups);
    for (const group of groups) this.#log(group);
    const current = new Set(groups.map(({ batch, reason }) => `${batch.record.id} ${reason}`));
    for (const key of this.#logged.keys()) if (!current.has(key)) this.#logged.delete(key);
  }

  #findHeld(open: readonly BatchState[], runs: ReadonlyMap<ItemState, ItemRun>): HeldGroup[] {
    const { clock, suspected } = this.#options;
    const running = [...runs.values()];
    const poolOf = this.#poolStates(running);
    const youngRuns = suspected.youngRuns(running);
    const groups = new Map<string, HeldGroup>();
    for (const batch of open) {
      for (const state of batch.items.values()) {
        const { phase, text } = state;
        const isAtWorker = phase === 'running' && runs.get(state)?.isStopped === false;
        if (isAtWorker || (phase !== 'waiting' && phase !== 'running')) {
          this.#idleSince.delete(state);
          continue;
        }
        const since = this.#idleSince.get(state) ?? new Stopwatch(clock);
        this.#idleSince.set(state, since);
        const idleMs = since.elapsedMs();
        if (idleMs < MIN_HELD_MS) continue;
        const item = {
          isWaiting: phase === 'waiting',
          suspicion: suspected.holdOf(state, youngRuns),
          trial: suspected.suspicionOf(state),
          allows: (version: number) => text.allows(version),
        };
        const reason = holdReason(item, poolOf(batch.record.model));
        if (reason === undefined) continue;
        const key = `${batch.record.id} ${reason}`;
        const group = groups.get(key) ?? { batch, reason, items: [], oldestMs: 0 };
        group.items.push(state);
        group.oldestMs = Math.max(group.oldestMs, idleMs);
        groups.set(key, group);
      }
    }
    return [...groups.values()];
  }

  /** State of the pool as the items of a model see it. */
  #poolStates(runs: readonly ItemRun[]): (model: string) => PoolState {
    const { workers, viewGuard, suspected } = this.#options;
    const free = workers.withFreeSlots(countByWorker(runs)).map(({ worker }) => worker.id);
    const usableWorkers = workers.usable().length;
    const mayStartRuns = viewGuard.mayStartRuns();
    return (model) => ({
      ...{ mayStartRuns, usableWorkers },
      free: free.map((id) => ({
        permits: workers.permitsOf(id),
        version: workers.versionOf(id, model),
        ...suspected.trialsAt(id),
      })),
    });
  }

  /** Reports no items any more. */
  [Symbol.dispose](): void {
    this.#setMetric([]);
  }

  #setMetric(groups: readonly HeldGroup[]): void {
    const { metrics, pool } = this.#options;
    for (const reason of this.#reported) metrics.itemsHeld.set({ pool, reason }, 0);
    for (const { reason, items } of groups) {
      this.#reported.add(reason);
      metrics.itemsHeld.inc({ pool, reason }, items.length);
    }
  }

  #log({ batch, reason, items, oldestMs }: HeldGroup): void {
    const { clock, logger, pool, workers } = this.#options;
    const key = `${batch.record.id} ${reason}`;
    const sinceLoggedMs = this.#logged.get(key)?.elapsedMs() ?? Infinity;
    if (sinceLoggedMs < HELD_ITEMS_LOG_INTERVAL_MS) return;
    this.#logged.set(key, new Stopwatch(clock));
    const [first] = items;
    logger.warn('items-held', {
      ...{ batch: batch.record.id, pool, reason, items: items.length, item: first?.item.id },
      ...{ oldestMs: Math.round(oldestMs), usableWorkers: workers.usable().length },
      avoidedWorker: first?.avoidedWorker,
      events: first?.text.events.length,
    });
  }
}
