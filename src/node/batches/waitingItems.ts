import type { ItemState } from './itemState.ts';
import { expectedTokens } from './waitingItem.ts';

/**
 * The waiting items of a batch. Items that have never begun differ in their length only, so the longest of them stand for all when
 * items are placed, and the cost of a placement does not grow with the size of the batch.
 */
export class WaitingItems {
  /** Items that had no text when they were added, longest first; some may wait no more. */
  readonly #fresh: readonly ItemState[];

  /** Index of the first item of `#fresh` that may still wait. */
  #firstFresh = 0;

  /** Items of `#fresh` that have not begun. */
  readonly #unbegun: Set<ItemState>;

  /** Waiting items that have begun before, here or at an earlier dispatcher. */
  readonly #begun = new Set<ItemState>();

  /** @param items - the items of the batch, of which none has begun */
  constructor(items: Iterable<ItemState>) {
    this.#unbegun = new Set(items);
    this.#fresh = [...this.#unbegun].sort(
      (left, right) => expectedTokens(right.item) - expectedTokens(left.item),
    );
  }

  get size(): number {
    return this.#unbegun.size + this.#begun.size;
  }

  all(): ItemState[] {
    return [...this.#begun, ...this.#unbegun];
  }

  /** The items of which the next ones are chosen: all that have begun before, and the longest of the others. */
  candidates(count: number): ItemState[] {
    const candidates = [...this.#begun];
    while (this.#firstFresh < this.#fresh.length && !this.#isUnbegun(this.#firstFresh)) {
      this.#firstFresh += 1;
    }
    let found = 0;
    for (let index = this.#firstFresh; index < this.#fresh.length && found < count; index += 1) {
      const state = this.#fresh[index];
      if (state !== undefined && this.#unbegun.has(state)) {
        candidates.push(state);
        found += 1;
      }
    }
    return candidates;
  }

  /** Adds an item that waits again, or that continues a text. */
  addBegun(state: ItemState): void {
    this.#unbegun.delete(state);
    this.#begun.add(state);
  }

  /** Removes an item that waits no more. */
  delete(state: ItemState): void {
    this.#unbegun.delete(state);
    this.#begun.delete(state);
  }

  #isUnbegun(index: number): boolean {
    const state = this.#fresh[index];
    return state !== undefined && this.#unbegun.has(state);
  }
}
