import type { ItemProgress } from '../../../gen/hyssoppulley/v1/batch_pb.ts';

/** Minimum length of a text to checkpoint, in events: regenerating a shorter one costs less than storing it. */
export const MIN_EVENTS_TO_CHECKPOINT = 24;

/** Minimum number of events since an item's last checkpoint that justifies another. */
export const MIN_EVENTS_SINCE_CHECKPOINT = 16;

/** From how many events an item is checkpointed. */
export interface CheckpointThresholds {
  readonly minEvents: number;
  /** Number of events since the item's last checkpoint. */
  readonly minNewEvents: number;
}

/** Thresholds of the checkpoints that are written periodically. */
const PERIODIC: CheckpointThresholds = {
  minEvents: MIN_EVENTS_TO_CHECKPOINT,
  minNewEvents: MIN_EVENTS_SINCE_CHECKPOINT,
};

/** Thresholds with which every event is stored. */
export const EVERY_EVENT: CheckpointThresholds = { minEvents: 1, minNewEvents: 1 };

/** An item whose text may need a checkpoint. */
export interface CheckpointItem {
  readonly id: string;
  /** Identifies the item's text among those that were started anew. */
  readonly textId: string;
  readonly events: number;
  /** Whether the text is complete and its result is not stored yet. */
  readonly isTextComplete: boolean;
}

/** The events of one text that are stored. */
interface StoredText {
  readonly textId: string;
  readonly events: number;
}

/** Decides which events to checkpoint, so that each event is stored only once. */
export class CheckpointTracker {
  readonly #stored = new Map<string, StoredText>();

  /**
   * Returns the items that need a checkpoint, each with the index of the first event to store: the number of events
   * stored so far, or 0 if the text was started anew or is now shorter than what was stored.
   */
  due(
    items: Iterable<CheckpointItem>,
    { minEvents, minNewEvents }: CheckpointThresholds = PERIODIC,
  ): Map<string, number> {
    const due = new Map<string, number>();
    for (const { id, textId, events, isTextComplete } of items) {
      const stored = this.#stored.get(id);
      const storedCount = stored?.textId === textId ? stored.events : 0;
      const offset = storedCount > events ? 0 : storedCount;
      const newEvents = events - offset;
      if (events >= minEvents && (newEvents >= minNewEvents || (isTextComplete && newEvents > 0))) {
        due.set(id, offset);
      }
    }
    return due;
  }

  /** Records that the first `events` events of an item's text are stored, by this dispatcher or an earlier one. */
  recordStored(item: string, textId: string, events: number): void {
    this.#stored.set(item, { textId, events });
  }
}

/**
 * Merges the checkpoints of each item. They must be ordered by dispatcher rank, then by number within it. Each
 * dispatcher continues from the checkpoints that it has read, so its events overwrite those that a predecessor stored
 * after it was replaced.
 */
export const mergeProgress = (parts: Iterable<ItemProgress>): Map<string, ItemProgress> => {
  const merged = new Map<string, ItemProgress>();
  for (const part of parts) {
    const known = merged.get(part.itemId);
    const before = known?.textId === part.textId ? known.events.length : 0;
    // The events before this part are missing, so it cannot be appended.
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
