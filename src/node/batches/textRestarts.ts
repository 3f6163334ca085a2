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
  readonly workers: Pick<EngineWorkers, 'weightVersions' | 'eventGapMs'>;
}

/** Gives up the texts of waiting items that no worker can continue, because its weights have another version. */
export class TextRestarts {
  readonly #options: TextRestartsOptions;

  /** Started when no free worker could continue an item's text. */
  readonly #heldSince = new WeakMap<ItemState, Stopwatch>();

  constructor(options: TextRestartsOptions) {
    this.#options = options;
  }

  /** @param workers - workers that may get items */
  restartHeldTexts(waiting: Iterable<ItemState>, workers: readonly PlacementWorker[]): void {
    const free = workers.filter(({ freeSlots }) => freeSlots > 0);
    for (const state of waiting) {
      const { text, batch } = state;
      const [version] = text.eventVersions;
      if (version === undefined || !batch.record.singleVersion) continue;
      const freeVersions = free.flatMap((worker) => worker.versionOf(batch.record.model) ?? []);
      const isHeld = !freeVersions.some((freeVersion) => text.allows(freeVersion));
      const couldStartAnew = freeVersions.some((other) => other >= batch.record.minVersion);
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
