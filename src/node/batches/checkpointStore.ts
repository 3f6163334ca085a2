import { create, fromJson, type JsonValue, toJson } from '@bufbuild/protobuf';
import {
  type ItemProgress,
  ItemProgressSchema,
  ProgressCheckpointSchema,
} from '../../gen/hyssoppulley/v1/batch_pb.ts';
import { messageOf } from '../../shared/errors.ts';
import { newId } from '../../shared/random.ts';
import type { DispatcherRank } from '../decisions/batchMoves/dispatcherRank.ts';
import {
  CheckpointTracker,
  type CheckpointThresholds,
  mergeProgress,
} from '../decisions/items/checkpoints.ts';
import type { Logger } from '../observability/logger.ts';
import type { CallPriority, PlatformClient } from '../platform/platformClient.ts';
import {
  maxContentBytes,
  progressKey,
  progressPrefix,
  progressSizeBytes,
  splitBySize,
} from './batchObjects.ts';
import type { BatchState } from './batchState.ts';
import type { ItemState } from './itemState.ts';

export interface CheckpointStoreOptions {
  readonly platform: PlatformClient;
  readonly logger: Logger;
  readonly batchId: string;
  /** Rank of this dispatcher. */
  readonly rank: DispatcherRank;
  /** Maximum size of a stored object's value, in bytes. */
  readonly maxValueBytes: number;
}

/** Progress of an item from event `eventOffset` on. */
const progressOf = (
  { batch, item, text, failedAttempts, isTextComplete }: ItemState,
  eventOffset = 0,
): ItemProgress =>
  create(ItemProgressSchema, {
    batchId: batch.record.id,
    itemId: item.id,
    events: text.events.slice(eventOffset),
    eventVersions: text.eventVersions.slice(eventOffset),
    failedAttempts,
    whole: isTextComplete,
    eventOffset,
    textId: text.id,
  });

/** Progress of items in open batches whose results are not stored in the result log yet. */
export const unstoredProgress = (batches: Iterable<BatchState>): ItemProgress[] =>
  [...batches]
    .filter(({ ended }) => !ended)
    .flatMap(({ items }) => [...items.values()])
    .filter(({ phase, text }) => phase !== 'listed' && text.events.length > 0)
    .map((state) => progressOf(state));

/**
 * Writes checkpoints of a batch's long items to the platform while they are generated, so that the next dispatcher can
 * continue them even if this one is killed. A lost checkpoint costs time to generate its events again, but no result.
 */
export class CheckpointStore {
  readonly #options: CheckpointStoreOptions;

  readonly #tracker = new CheckpointTracker();

  #checkpointCount = 0;

  #writing = false;

  constructor(options: CheckpointStoreOptions) {
    this.#options = options;
  }

  /** Reads the checkpoints of former dispatchers. @throws PlatformError when the platform does not respond */
  async read(priority?: CallPriority): Promise<ItemProgress[]> {
    const { platform, batchId } = this.#options;
    const objects = await platform.list(progressPrefix(batchId), { priority });
    const parts = [...objects]
      .sort((left, right) => (left.key < right.key ? -1 : 1))
      .flatMap(
        ({ value }) =>
          fromJson(ProgressCheckpointSchema, value as JsonValue, { ignoreUnknownFields: true })
            .items,
      );
    const progress = [...mergeProgress(parts).values()];
    for (const { itemId, textId, events } of progress) {
      this.#tracker.recordStored(itemId, textId, events.length);
    }
    return progress;
  }

  /**
   * Writes a checkpoint of the events generated since the last one, if there are enough of them.
   *
   * @param thresholds - from how many events an item is stored @default enough to be worth a periodic write
   */
  async write(items: readonly ItemState[], thresholds?: CheckpointThresholds): Promise<void> {
    if (this.#writing) return;
    const due = this.#tracker.due(
      items.map(({ item, text, isTextComplete }) => ({
        id: item.id,
        textId: text.id,
        events: text.events.length,
        isTextComplete,
      })),
      thresholds,
    );
    if (due.size === 0) return;
    const { platform, logger, batchId, rank, maxValueBytes } = this.#options;
    const maxBytes = maxContentBytes(maxValueBytes);
    const fitting = items
      .filter(({ item }) => due.has(item.id))
      .map((state) => progressOf(state, due.get(state.item.id)))
      .filter((progress) => progressSizeBytes(progress) <= maxBytes);
    // Items that do not fit into this object are due again at the next checkpoint.
    const [parts] = splitBySize(fitting, progressSizeBytes, maxBytes);
    if (parts === undefined) return;
    this.#writing = true;
    this.#checkpointCount += 1;
    try {
      const checkpoint = create(ProgressCheckpointSchema, { term: rank.term, items: parts });
      const key = progressKey(batchId, rank, this.#checkpointCount);
      const result = await platform.write(key, toJson(ProgressCheckpointSchema, checkpoint), {
        ifVersion: 0,
        operationId: newId(),
      });
      logger.info('checkpoint-write', {
        batch: batchId,
        items: parts.length,
        outcome: result.status,
      });
      if (result.status !== 'written') return;
      for (const { itemId, textId, eventOffset, events } of parts) {
        this.#tracker.recordStored(itemId, textId, eventOffset + events.length);
      }
    } catch (error) {
      logger.warn('checkpoint-write-failed', { batch: batchId, message: messageOf(error) });
    } finally {
      this.#writing = false;
    }
  }
}
