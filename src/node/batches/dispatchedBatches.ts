import type { BatchRecord } from '../../gen/hyssoppulley/v1/batch_pb.ts';
import type { BatchState } from './batchState.ts';
import type { ContentHolder } from './contents/contentMemory.ts';
import type { ItemState } from './itemState.ts';

/** The batches that a dispatcher has loaded and not forgotten. */
export class DispatchedBatches implements ContentHolder {
  readonly #batches = new Map<string, BatchState>();

  readonly #forget: (batchId: string) => void;

  /** @param forget - forgets an ended batch */
  constructor(forget: (batchId: string) => void) {
    this.#forget = forget;
  }

  get(batchId: string): BatchState | undefined {
    return this.#batches.get(batchId);
  }

  has(batchId: string): boolean {
    return this.#batches.has(batchId);
  }

  add(batch: BatchState): void {
    this.#batches.set(batch.record.id, batch);
  }

  delete(batchId: string): void {
    this.#batches.delete(batchId);
  }

  all(): BatchState[] {
    return [...this.#batches.values()];
  }

  /** Batches that have not ended and have unfinished items. */
  open(): BatchState[] {
    return this.all().filter((batch) => !batch.ended && !batch.complete);
  }

  openRecords(): BatchRecord[] {
    return this.open().map(({ record }) => record);
  }

  /**
   * Waiting items of open batches.
   *
   * @param countOfBatch - number of items of a batch, among those that have not begun, that may start now @default all
   */
  waitingItems(countOfBatch = Infinity): ItemState[] {
    return this.open().flatMap(({ waiting }) => waiting.candidates(countOfBatch));
  }

  /** Number of batches whose items are in memory. */
  get loadedCount(): number {
    return this.all().filter(({ items }) => items.size > 0).length;
  }

  /** Memory of the items and results of batches that are not complete, in bytes, without large bodies. */
  get neededBytes(): number {
    return this.all().reduce(
      (sum, batch) => sum + batch.itemsBytes + (batch.isStored ? 0 : batch.log.resultsBytes),
      0,
    );
  }

  /** Memory of the results of batches that are complete or have ended, in bytes. */
  get cachedBytes(): number {
    return this.#stored().reduce((sum, { log }) => sum + log.resultsBytes, 0);
  }

  /** Gives up the results of stored batches, which are read from the platform from then on. */
  evict(bytes: number): void {
    const leftBytes = this.cachedBytes - bytes;
    for (const batch of this.#stored()) {
      if (this.cachedBytes <= leftBytes) return;
      if (batch.ended) this.#forget(batch.record.id);
      else batch.log.release();
    }
  }

  /** Drops the items of the batches that are complete. */
  dropStoredItems(): void {
    for (const batch of this.#stored()) batch.dropItems();
  }

  #stored(): BatchState[] {
    return this.all().filter(({ isStored }) => isStored);
  }
}
