import type { ContentHolder } from './contents/contentMemory.ts';
import type { BatchState } from './batchState.ts';
import type { ItemState } from './itemState.ts';

/** Maximum number of cached texts. A trainer submits incomplete groups again in its next step. */
const MAX_PARTIAL_TEXTS = 1024;

/** Memory of a text and of each event beside its data, in bytes. */
const TEXT_BYTES = 256;
const EVENT_BYTES = 32;

interface PartialText {
  /** What `ItemState.restoreProgress` takes. */
  readonly progress: Parameters<ItemState['restoreProgress']>[0];
  readonly sizeBytes: number;
}

const toPartialText = ({ text, isTextComplete }: ItemState): PartialText => {
  const events = [...text.events];
  return {
    progress: {
      ...{ events, eventVersions: [...text.eventVersions] },
      ...{ whole: isTextComplete, textId: text.id },
      // Failed attempts of the earlier batch do not count towards the limit of a later one.
      failedAttempts: 0,
    },
    sizeBytes: events.reduce((sum, data) => sum + EVENT_BYTES + data.length, TEXT_BYTES),
  };
};

/**
 * Caches the texts that items of ended batches had generated. A trainer may submit incomplete groups again in a later
 * batch under the same item ids. Their generation then continues from the cached text if its weight versions are
 * allowed.
 */
export class PartialTextCache implements ContentHolder {
  readonly neededBytes = 0;

  readonly #texts = new Map<string, PartialText>();

  #cachedBytes = 0;

  get cachedBytes(): number {
    return this.#cachedBytes;
  }

  /** Caches the texts of a batch's incomplete groups. Evicts the least recently stored texts above the limit. */
  store(batch: BatchState): void {
    for (const state of batch.items.values()) {
      const { item, text } = state;
      if (batch.unfinishedInGroup(item.group) === 0 || text.events.length === 0) continue;
      this.#remove(item.id);
      const partialText = toPartialText(state);
      this.#texts.set(item.id, partialText);
      this.#cachedBytes += partialText.sizeBytes;
    }
    for (const id of this.#texts.keys()) {
      if (this.#texts.size <= MAX_PARTIAL_TEXTS) break;
      this.#remove(id);
    }
  }

  /** Restores cached texts into a new batch where their weight versions are allowed. Returns how many it restored. */
  restoreInto(batch: BatchState): number {
    let reused = 0;
    for (const state of batch.items.values()) {
      const { id } = state.item;
      const earlier = this.#texts.get(id);
      if (earlier === undefined || !state.restoreProgress(earlier.progress)) continue;
      this.#remove(id);
      reused += 1;
    }
    return reused;
  }

  evict(bytes: number): void {
    const leftBytes = this.#cachedBytes - bytes;
    for (const id of this.#texts.keys()) {
      if (this.#cachedBytes <= leftBytes) return;
      this.#remove(id);
    }
  }

  #remove(id: string): void {
    this.#cachedBytes -= this.#texts.get(id)?.sizeBytes ?? 0;
    this.#texts.delete(id);
  }
}
