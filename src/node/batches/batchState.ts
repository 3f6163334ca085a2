import {
  type BatchItem,
  type BatchRecord,
  type ItemProgress,
  type ItemResult,
} from '../../gen/hyssoppulley/v1/batch_pb.ts';
import { base64Length } from '../../shared/base64.ts';
import { storedSizeBytes } from './batchObjects.ts';
import type { ItemBodies } from './contents/itemBodies.ts';
import { itemBytes } from './contents/storedPart.ts';
import { ItemState } from './itemState.ts';
import type { ResultLog } from './resultLog.ts';
import { WaitingItems } from './waitingItems.ts';

/** Results of a batch as read at its dispatcher. */
export interface DispatcherRead {
  readonly total: number;
  readonly results: ResultLog['results'];
}

/** The large bodies of a dispatcher's items, as a batch needs them. */
export type BatchBodies = Pick<ItemBodies, 'digestOf' | 'sizeBytesOf' | 'drop' | 'dropBatch'>;

const NO_LARGE_BODIES: BatchBodies = {
  digestOf: () => undefined,
  sizeBytesOf: () => 0,
  drop() {},
  dropBatch() {},
};

/** State of a batch and its items at the dispatcher. */
export class BatchState {
  readonly record: BatchRecord;

  readonly log: ResultLog;

  readonly itemCount: number;

  /** Stored size of the items, in bytes. */
  readonly storedBytes: number;

  readonly #bodies: BatchBodies;

  #items: ReadonlyMap<string, ItemState>;

  #waiting: WaitingItems;

  /** Memory of the items without their large bodies, in bytes. */
  #itemsBytes: number;

  /** Number of unfinished items of each group. */
  readonly #unfinishedByGroup = new Map<string, number>();

  #finishedGroups = 0;

  #ended: boolean;

  /** @param bodies - the large bodies of the items @default none has any */
  constructor(
    record: BatchRecord,
    items: readonly BatchItem[],
    log: ResultLog,
    bodies: BatchBodies = NO_LARGE_BODIES,
  ) {
    this.record = record;
    this.log = log;
    this.#bodies = bodies;
    this.itemCount = items.length;
    this.storedBytes = items.reduce(
      (sum, item) => sum + storedSizeBytes(item),
      base64Length(bodies.sizeBytesOf(record.id)),
    );
    this.#itemsBytes = items.reduce((sum, item) => sum + itemBytes(item), 0);
    this.#items = new Map(
      items.map((item) => [
        item.id,
        new ItemState(this, item, record, bodies.digestOf(record.id, item.id)),
      ]),
    );
    this.#waiting = new WaitingItems(this.#items.values());
    for (const { group } of items) {
      this.#unfinishedByGroup.set(group, this.unfinishedInGroup(group) + 1);
    }
    this.#ended = record.endedAtMs > 0n;
    this.markStored(log.results);
  }

  /** The items by id; none once all results are stored or the batch has ended. */
  get items(): ReadonlyMap<string, ItemState> {
    return this.#items;
  }

  get waiting(): Pick<WaitingItems, 'size' | 'all' | 'candidates'> {
    return this.#waiting;
  }

  /** Memory of the items without their large bodies, in bytes. */
  get itemsBytes(): number {
    return this.#itemsBytes;
  }

  /** Whether what is left of the batch in memory can be read from the platform. */
  get isStored(): boolean {
    return this.#ended || (this.complete && this.log.isFlushed);
  }

  get ended(): boolean {
    return this.#ended;
  }

  end(): void {
    this.#ended = true;
    this.dropItems();
  }

  /** Drops the items, which nothing needs any more. */
  dropItems(): void {
    this.#items = new Map();
    this.#waiting = new WaitingItems([]);
    this.#itemsBytes = 0;
    this.#bodies.dropBatch(this.record.id);
  }

  /** Whether every item is finished. */
  get complete(): boolean {
    return this.#finishedGroups === this.#unfinishedByGroup.size;
  }

  /** Number of groups that must still finish before the trainer has as many as it wants. Not positive once it has. */
  get missingGroups(): number {
    const { wantedGroups } = this.record;
    return (wantedGroups || this.#unfinishedByGroup.size) - this.#finishedGroups;
  }

  /** Number of unfinished items of a group. */
  unfinishedInGroup(group: string): number {
    return this.#unfinishedByGroup.get(group) ?? 0;
  }

  /** Records whether an item waits for a worker, and that it has begun. */
  recordWaiting(state: ItemState, isWaiting: boolean): void {
    if (isWaiting) this.#waiting.addBegun(state);
    else this.#waiting.delete(state);
  }

  /** Marks items as listed because their results are stored in the result log. */
  markStored(results: readonly ItemResult[]): void {
    for (const { itemId } of results) {
      const state = this.items.get(itemId);
      if (state === undefined) continue;
      if (!state.closed) this.#closeItem(state);
      state.markStored();
    }
  }

  /** Marks an item as finished. Returns whether it was the last unfinished item of its group. */
  finish(state: ItemState): boolean {
    state.finish();
    return this.#closeItem(state);
  }

  /** Restores progress that a former dispatcher made on an item. */
  restoreProgress(progress: ItemProgress): void {
    this.items.get(progress.itemId)?.restoreProgress(progress);
  }

  #closeItem({ item }: ItemState): boolean {
    this.#bodies.drop(this.record.id, item.id);
    const open = this.unfinishedInGroup(item.group) - 1;
    this.#unfinishedByGroup.set(item.group, open);
    if (open === 0) this.#finishedGroups += 1;
    return open === 0;
  }
}
