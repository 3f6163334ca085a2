import type { BatchState } from './batchState.ts';
import type { ItemState } from './itemState.ts';

/** Maximum number of cached texts. A trainer submits incomplete groups again in its next step. */
const MAX_PARTIAL_TEXTS = 1024;

/**
 * Caches the texts that items of ended batches had generated. A trainer may submit incomplete groups again in a later
 * batch under the same item ids. Their generation then continues from the cached text if its weight versions are
 * allowed.
 */
export class PartialTextCache {
  readonly #items = new Map<string, ItemState>();

  /** Caches the texts of an ended batch's incomplete groups. Evicts the least recently stored texts above the limit. */
  store(batch: BatchState): void {
    for (const state of batch.items.values()) {
      const { item, text } = state;
      if (batch.unfinishedInGroup(item.group) === 0 || text.events.length === 0) continue;
      this.#items.delete(item.id);
      this.#items.set(item.id, state);
    }
    for (const id of this.#items.keys()) {
      if (this.#items.size <= MAX_PARTIAL_TEXTS) break;
      this.#items.delete(id);
    }
  }

  /** Restores cached texts into a new batch where their weight versions are allowed. Returns how many it restored. */
  restoreInto(batch: BatchState): number {
    let reused = 0;
    for (const state of batch.items.values()) {
      const earlier = this.#items.get(state.item.id);
      if (earlier === undefined) continue;
      const events = [...earlier.text.events];
      const eventVersions = [...earlier.text.eventVersions];
      const { isTextComplete: whole, text } = earlier;
      // Failed attempts of the earlier batch do not count towards the limit of this one.
      const progress = { events, eventVersions, whole, textId: text.id, failedAttempts: 0 };
      if (!state.restoreProgress(progress)) continue;
      this.#items.delete(state.item.id);
      reused += 1;
    }
    return reused;
  }
}
