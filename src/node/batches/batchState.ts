import {
  type BatchItem,
  type BatchRecord,
  type ItemProgress,
  type ItemResult,
} from '../../gen/hyssoppulley/v1/batch_pb.ts';
import { storedSizeBytes } from './batchObjects.ts';
import { ItemState } from './itemState.ts';
import type { ResultLog } from './resultLog.ts';

/** Results of a batch as read at its dispatcher. */
export interface DispatcherRead {
  readonly total: number;
  readonly results: ResultLog['results'];
}

/** State of a batch and its items at the dispatcher. */
export class BatchState {
  readonly record: BatchRecord;

  readonly log: ResultLog;

  readonly items: ReadonlyMap<string, ItemState>;

  /** Stored size of the items, in bytes. */
  readonly storedBytes: number;

  /** Number of unfinished items of each group. */
  readonly #unfinishedByGroup = new Map<string, number>();

  #finishedGroups = 0;

  #ended: boolean;

  constructor(record: BatchRecord, items: readonly BatchItem[], log: ResultLog) {
    this.record = record;
    this.log = log;
    this.storedBytes = items.reduce((sum, item) => sum + storedSizeBytes(item), 0);
    this.items = new Map(items.map((item) => [item.id, new ItemState(this, item, record)]));
    for (const { group } of items) {
      this.#unfinishedByGroup.set(group, this.unfinishedInGroup(group) + 1);
    }
    this.#ended = record.endedAtMs > 0n;
    this.markStored(log.results);
  }

  get ended(): boolean {
    return this.#ended;
  }

  end(): void {
    this.#ended = true;
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
    const open = this.unfinishedInGroup(item.group) - 1;
    this.#unfinishedByGroup.set(item.group, open);
    if (open === 0) this.#finishedGroups += 1;
    return open === 0;
  }
}
