import type { BatchItem, ItemProgress } from '../../gen/hyssoppulley/v1/batch_pb.ts';
import { ItemText, type VersionRules } from '../decisions/itemText.ts';
import type { BatchState } from './batchState.ts';

/** What an item waits for. `finished`: for its result to be stored. */
export type ItemPhase = 'waiting' | 'running' | 'scoring' | 'finished' | 'listed';

/** One item at its dispatcher. */
export class ItemState {
  readonly batch: BatchState;

  readonly item: BatchItem;

  readonly text: ItemText;

  #phase: ItemPhase = 'waiting';

  #failedAttempts = 0;

  #avoid: string | undefined;

  #whole = false;

  constructor(batch: BatchState, item: BatchItem, rules: VersionRules) {
    this.batch = batch;
    this.item = item;
    this.text = new ItemText(rules);
  }

  get phase(): ItemPhase {
    return this.#phase;
  }

  /** Whether nothing is left to be done for the item. */
  get closed(): boolean {
    return this.#phase === 'finished' || this.#phase === 'listed';
  }

  /** Answers of workers that say the item failed. */
  get failedAttempts(): number {
    return this.#failedAttempts;
  }

  /** Worker that the item has just left. */
  get avoid(): string | undefined {
    return this.#avoid;
  }

  /** Whether the text is whole, so that only its score is missing. */
  get whole(): boolean {
    return this.#whole;
  }

  begin(): void {
    this.#phase = 'running';
  }

  /** The item waits for a worker, if possible another than the one that it leaves. */
  wait(leaves: string | undefined): void {
    if (this.closed) return;
    this.#phase = 'waiting';
    this.#avoid = leaves;
  }

  /** The text is whole. */
  score(): void {
    if (this.closed) return;
    this.#phase = 'scoring';
    this.#whole = true;
  }

  finish(): void {
    this.#phase = 'finished';
  }

  list(): void {
    this.#phase = 'listed';
  }

  /** A worker says that the item failed. */
  fail(): void {
    this.#failedAttempts += 1;
  }

  /**
   * Takes over what was generated before.
   *
   * @returns whether the versions of the text fit
   */
  adopt(
    earlier: Pick<ItemProgress, 'events' | 'eventVersions' | 'whole' | 'failedAttempts'>,
  ): boolean {
    if (this.#phase !== 'waiting') return false;
    this.#failedAttempts = Math.max(this.#failedAttempts, earlier.failedAttempts);
    if (!this.text.adopt(earlier.events, earlier.eventVersions)) return false;
    this.#whole = earlier.whole;
    return true;
  }
}
