import type { ItemProgress } from '../../gen/hyssoppulley/v1/batch_pb.ts';

/** A text is kept from this many events on: below that, generating it again costs less than keeping it. */
export const MIN_KEPT_EVENTS = 24;

/** New events of an item from which they are worth a checkpoint. */
export const MIN_NEW_EVENTS = 16;

/** An item whose text may be worth keeping. */
export interface CheckpointItem {
  readonly id: string;
  readonly events: number;
  /** Whether its text will not grow any more and still waits for its result to be stored. */
  readonly whole: boolean;
}

/** Decides which events to keep, so that each is kept once. */
export class Checkpoints {
  /** Events kept so far, by item. */
  readonly #kept = new Map<string, number>();

  /** Records what an earlier dispatcher has kept. */
  known(item: string, events: number): void {
    this.#kept.set(item, events);
  }

  /**
   * Items whose events since the last checkpoint are to be kept, with the number of events before those. A text that
   * began anew is kept from its start.
   */
  due(items: Iterable<CheckpointItem>): Map<string, number> {
    const due = new Map<string, number>();
    for (const { id, events, whole } of items) {
      const kept = this.#kept.get(id) ?? 0;
      const offset = kept > events ? 0 : kept;
      const fresh = events - offset;
      if (events >= MIN_KEPT_EVENTS && (fresh >= MIN_NEW_EVENTS || (whole && fresh > 0))) {
        due.set(id, offset);
      }
    }
    return due;
  }

  /** The events of an item up to a number are kept. */
  stored(item: string, events: number): void {
    this.#kept.set(item, events);
  }
}

/**
 * Puts an item's checkpoints together, in the order of their terms and numbers. A later dispatcher continued from what
 * it had read, so its events replace those that an earlier one kept after it was replaced.
 */
export const mergeProgress = (parts: Iterable<ItemProgress>): Map<string, ItemProgress> => {
  const merged = new Map<string, ItemProgress>();
  for (const part of parts) {
    const known = merged.get(part.itemId);
    const before = known?.events.length ?? 0;
    // A part after a gap continues a text that is not known here.
    if (part.eventOffset > before) continue;
    merged.set(part.itemId, {
      ...part,
      eventOffset: 0,
      events: [...(known?.events.slice(0, part.eventOffset) ?? []), ...part.events],
      eventVersions: [
        ...(known?.eventVersions.slice(0, part.eventOffset) ?? []),
        ...part.eventVersions,
      ],
    });
  }
  return merged;
};
