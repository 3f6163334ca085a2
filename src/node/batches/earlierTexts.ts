import type { BatchState } from './batchState.ts';
import type { ItemState } from './itemState.ts';

/** Texts that are kept, at most. A trainer's next step brings back the groups that were not complete. */
const MAX_TEXTS = 1024;

/**
 * What items of ended batches had generated. Groups that were not complete may come again in a later batch under the
 * same ids; their texts are then continued when the versions fit.
 */
export class EarlierTexts {
  readonly #items = new Map<string, ItemState>();

  /** Keeps the texts of an ended batch's incomplete groups. */
  keep(batch: BatchState): void {
    for (const state of batch.items.values()) {
      const { item, text } = state;
      if (batch.openInGroup(item.group) === 0 || text.events.length === 0) continue;
      this.#items.delete(item.id);
      this.#items.set(item.id, state);
    }
    for (const id of this.#items.keys()) {
      if (this.#items.size <= MAX_TEXTS) break;
      this.#items.delete(id);
    }
  }

  /** Gives a new batch the texts that fit it. Returns how many. */
  reuse(batch: BatchState): number {
    let reused = 0;
    for (const state of batch.items.values()) {
      const earlier = this.#items.get(state.item.id);
      if (earlier === undefined) continue;
      const events = [...earlier.text.events];
      const eventVersions = [...earlier.text.eventVersions];
      const { whole } = earlier;
      // Attempts that failed in the earlier batch do not count in this one.
      if (!state.adopt({ events, eventVersions, whole, failedAttempts: 0 })) continue;
      this.#items.delete(state.item.id);
      reused += 1;
    }
    return reused;
  }
}
