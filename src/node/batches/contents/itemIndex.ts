import type { BatchItem } from '../../../gen/hyssoppulley/v1/batch_pb.ts';

/** Largest number of batches and of items that are indexed. */
const MAX_BATCHES = 64;
const MAX_ITEMS = 65_536;

interface IndexedBatch {
  readonly partOf: Map<string, number>;
  readonly knownParts: Set<number>;
}

/** Remembers in which part of its batch an item is stored, as far as parts have been read. */
export class ItemIndex {
  readonly #batches = new Map<string, IndexedBatch>();

  #itemCount = 0;

  /** Records the items of a part. */
  record(batchId: string, part: number, items: readonly BatchItem[]): void {
    const batch = this.#batches.get(batchId) ?? { partOf: new Map(), knownParts: new Set() };
    if (batch.knownParts.has(part)) return;
    this.#batches.set(batchId, batch);
    batch.knownParts.add(part);
    for (const { id } of items) batch.partOf.set(id, part);
    this.#itemCount += items.length;
    for (const [id, { partOf }] of this.#batches) {
      if (this.#batches.size <= MAX_BATCHES && this.#itemCount <= MAX_ITEMS) return;
      this.#batches.delete(id);
      this.#itemCount -= partOf.size;
    }
  }

  /** Parts in which an item may be, in the order in which to look for it. */
  partsOf(batchId: string, itemId: string, partCount: number): readonly number[] {
    const batch = this.#batches.get(batchId);
    const part = batch?.partOf.get(itemId);
    if (part !== undefined) return [part];
    return Array.from({ length: partCount }, (_, index) => index).filter(
      (index) => batch?.knownParts.has(index) !== true,
    );
  }
}
