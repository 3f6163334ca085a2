import type { BatchItem, ItemProgress } from '../../gen/hyssoppulley/v1/batch_pb.ts';
import { ItemText, type VersionRules } from '../decisions/items/itemText.ts';
import { UncertainEnd } from '../decisions/streams/uncertainEnd.ts';
import type { DigestedRequest } from '../poison/requestDigest.ts';
import type { BatchState } from './batchState.ts';
import { ITEM_REQUEST_METHOD } from './constants.ts';
import { isKeptApart } from './contents/storedPart.ts';

/** Phase of an item. `finished`: its result is not stored yet; `listed`: its result is stored and readable. */
export type ItemPhase = 'waiting' | 'running' | 'scoring' | 'finished' | 'listed';

/** State of one item at the dispatcher. */
export class ItemState {
  readonly batch: BatchState;

  readonly item: BatchItem;

  readonly text: ItemText;

  #phase: ItemPhase = 'waiting';

  #failedAttempts = 0;

  #avoidedWorker: string | undefined;

  #isTextComplete = false;

  #restarts = 0;

  #stalledRuns = 0;

  readonly #request: DigestedRequest & { readonly id: string };

  readonly #uncertainEnd = new UncertainEnd();

  /** @param digest - digest of the item's request if its body is kept apart */
  constructor(batch: BatchState, item: BatchItem, rules: VersionRules, digest?: string) {
    this.batch = batch;
    this.item = item;
    this.text = new ItemText(rules);
    const { id, path, body } = item;
    const { host } = batch.record;
    this.#request = { ...{ id, method: ITEM_REQUEST_METHOD, host, path, body }, digest };
  }

  /** Whether the bodies of the item are kept apart from it. */
  get hasLargeBody(): boolean {
    return isKeptApart(this.item);
  }

  get phase(): ItemPhase {
    return this.#phase;
  }

  /** Whether the item needs no further run or scoring. */
  get closed(): boolean {
    return this.#phase === 'finished' || this.#phase === 'listed';
  }

  /** The item's request, by which it is recognised if workers end under it. */
  get request(): DigestedRequest & { readonly id: string } {
    return this.#request;
  }

  /** Number of responses in which a worker reported that the item failed. */
  get failedAttempts(): number {
    return this.#failedAttempts;
  }

  /** Number of runs since the last steady one that were stopped because nothing came from their workers. */
  get stalledRuns(): number {
    return this.#stalledRuns;
  }

  /** Worker of the item's previous run, which the next placement avoids if possible. */
  get avoidedWorker(): string | undefined {
    return this.#avoidedWorker;
  }

  /** Whether the text is complete and only its score is missing. */
  get isTextComplete(): boolean {
    return this.#isTextComplete;
  }

  start(): void {
    this.#setPhase('running');
  }

  /** Makes the item wait for a worker again, preferably another than `formerWorker`. */
  requeue(formerWorker: string | undefined): void {
    if (this.closed) return;
    this.#setPhase('waiting');
    this.#avoidedWorker = formerWorker;
  }

  /** Marks the text as complete; the item now needs its score. */
  startScoring(): void {
    if (this.closed) return;
    this.#setPhase('scoring');
    this.#isTextComplete = true;
  }

  finish(): void {
    this.#setPhase('finished');
  }

  markStored(): void {
    this.#setPhase('listed');
  }

  /** Counts an attempt that a worker reported as failed. */
  recordFailure(): void {
    this.#failedAttempts += 1;
  }

  /** Records that a run that was not steady was stopped because nothing came from its worker. */
  recordStalledRun(): void {
    this.#stalledRuns += 1;
  }

  /** Records the end of a steady run. */
  recordSteadyRun(): void {
    this.#stalledRuns = 0;
  }

  /** Records that a run may have ended as a broken one. Returns whether the text is complete. */
  confirmEnd(): boolean {
    return this.#uncertainEnd.confirm(this.text.events.length);
  }

  /**
   * Gives up the text, so that the item starts anew.
   *
   * @param term - term of this dispatcher; other dispatchers may have restarted the text as well
   */
  restartText(term: number): void {
    this.#restarts += 1;
    const { moves } = this.batch.record;
    const afterMove = moves === 0 ? '' : `${moves}.`;
    this.text.restart(`${afterMove}${term}.${this.#restarts}`);
  }

  /**
   * Restores progress that was made earlier. Has an effect only while the item waits for a worker.
   *
   * @returns whether the text was restored; false also when its weight versions are not allowed
   */
  restoreProgress(
    earlier: Pick<ItemProgress, 'events' | 'eventVersions' | 'whole' | 'textId' | 'failedAttempts'>,
  ): boolean {
    if (this.#phase !== 'waiting') return false;
    this.#failedAttempts = Math.max(this.#failedAttempts, earlier.failedAttempts);
    if (!this.text.restore(earlier.events, earlier.eventVersions, earlier.textId)) return false;
    this.#isTextComplete = earlier.whole;
    this.batch.recordWaiting(this, true);
    return true;
  }

  #setPhase(phase: ItemPhase): void {
    this.#phase = phase;
    this.batch.recordWaiting(this, phase === 'waiting');
  }
}
