import { type Clock, Stopwatch } from '../../shared/clock.ts';
import type { PlacementWorker } from '../decisions/items/itemPlacement.ts';
import { mustRestartText } from '../decisions/items/textRestart.ts';
import type { Logger } from '../observability/logger.ts';
import type { EngineWorkers } from './engineWorkers.ts';
import type { ItemState } from './itemState.ts';

export interface TextRestartsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly term: number;
  readonly workers: Pick<EngineWorkers, 'weightVersions' | 'eventGapMs' | 'limitedWithFreeSlots'>;
}

/** Gives up the texts of waiting items that no worker can continue, because its weights have another version. */
export class TextRestarts {
  readonly #options: TextRestartsOptions;

  /** Started when no free worker could continue an item's text. */
  readonly #heldSince = new WeakMap<ItemState, Stopwatch>();

  constructor(options: TextRestartsOptions) {
    this.#options = options;
  }

  /**
   * @param workers - workers that may get items
   * @param running - number of runs by worker
   */
  restartHeldTexts(
    waiting: Iterable<ItemState>,
    workers: readonly PlacementWorker[],
    running: ReadonlyMap<string, number>,
  ): void {
    const free = workers.filter(({ freeSlots }) => freeSlots > 0);
    const limited = this.#options.workers.limitedWithFreeSlots(running);
    for (const state of waiting) {
      const { text, batch } = state;
      const [version] = text.eventVersions;
      if (version === undefined || !batch.record.singleVersion) continue;
      const versionsOf = (each: readonly Pick<PlacementWorker, 'versionOf'>[]) =>
        each.flatMap((worker) => worker.versionOf(batch.record.model) ?? []);
      const freeVersions = versionsOf(free);
      const limitedVersions = versionsOf(limited);
      const isAllowed = (other: number) => text.allows(other);
      const isHeld = !freeVersions.some(isAllowed);
      // Permits are asked for only on workers that can run the item, so a held text gets none on the others.
      const startVersions = limitedVersions.some(isAllowed)
        ? freeVersions
        : [...freeVersions, ...limitedVersions];
      const couldStartAnew = startVersions.some((other) => other >= batch.record.minVersion);
      if (!isHeld) this.#heldSince.delete(state);
      else if (couldStartAnew) this.#restartIfDue(state, version);
    }
  }

  #restartIfDue(state: ItemState, version: number): void {
    const { clock, logger, term, workers } = this.#options;
    const { text, batch, item } = state;
    const since = this.#heldSince.get(state) ?? new Stopwatch(clock);
    this.#heldSince.set(state, since);
    const heldMs = since.elapsedMs();
    const eventCount = text.events.length;
    const workerVersions = workers.weightVersions(batch.record.model);
    if (!mustRestartText({ version, eventCount, heldMs }, workerVersions, workers.eventGapMs)) {
      return;
    }
    this.#heldSince.delete(state);
    state.restartText(term);
    logger.info('item-text-restarted', {
      ...{ batch: batch.record.id, item: item.id, version, events: eventCount },
      heldMs: Math.round(heldMs),
      workerVersions: [...new Set(workerVersions)].join(','),
    });
  }
}
