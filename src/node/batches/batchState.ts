import {
  type BatchItem,
  type BatchRecord,
  type ItemProgress,
  type ItemResult,
} from '../../gen/hyssoppulley/v1/batch_pb.ts';
import { ItemState } from './itemState.ts';
import type { ResultLog } from './resultLog.ts';

/** A batch at its dispatcher: its items and what has become of them. */
export class BatchState {
  readonly record: BatchRecord;

  readonly log: ResultLog;

  readonly items: ReadonlyMap<string, ItemState>;

  /** Items of each group that are not finished. */
  readonly #openByGroup = new Map<string, number>();

  #finishedGroups = 0;

  #ended: boolean;

  constructor(record: BatchRecord, items: readonly BatchItem[], log: ResultLog) {
    this.record = record;
    this.log = log;
    this.items = new Map(items.map((item) => [item.id, new ItemState(this, item, record)]));
    for (const { group } of items) {
      this.#openByGroup.set(group, this.openInGroup(group) + 1);
    }
    this.#ended = record.endedAtMs > 0n;
    this.listed(log.results);
  }

  get ended(): boolean {
    return this.#ended;
  }

  end(): void {
    this.#ended = true;
  }

  /** Whether every item is finished. */
  get complete(): boolean {
    return this.#finishedGroups === this.#openByGroup.size;
  }

  /** Groups that are not finished yet and that the trainer still waits for. */
  get missingGroups(): number {
    const { wantedGroups } = this.record;
    return (wantedGroups || this.#openByGroup.size) - this.#finishedGroups;
  }

  /** Unfinished items of a group. */
  openInGroup(group: string): number {
    return this.#openByGroup.get(group) ?? 0;
  }

  /** Marks items whose results are stored. */
  listed(results: readonly ItemResult[]): void {
    for (const { itemId } of results) {
      const state = this.items.get(itemId);
      if (state === undefined) continue;
      if (!state.closed) this.#closeItem(state);
      state.list();
    }
  }

  /** Marks an item as finished. Returns whether its group is finished with it. */
  finish(state: ItemState): boolean {
    state.finish();
    return this.#closeItem(state);
  }

  /** Takes over what a former dispatcher has generated. */
  adopt(progress: ItemProgress): void {
    this.items.get(progress.itemId)?.adopt(progress);
  }

  #closeItem({ item }: ItemState): boolean {
    const open = this.openInGroup(item.group) - 1;
    this.#openByGroup.set(item.group, open);
    if (open === 0) this.#finishedGroups += 1;
    return open === 0;
  }
}
