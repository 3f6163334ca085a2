import { create } from '@bufbuild/protobuf';
import {
  ItemResultSchema,
  ItemState as ResultState,
  type ScoringCall,
} from '../../gen/hyssoppulley/v1/batch_pb.ts';
import { type Clock, sleep } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import type { Logger } from '../observability/logger.ts';
import { BODY_RETRY_MS } from './constants.ts';
import type { ItemBodies } from './contents/itemBodies.ts';
import type { ItemScorer } from './itemScorer.ts';
import type { ItemState } from './itemState.ts';

export interface ItemResultsOptions {
  readonly clock: Clock;
  readonly scorer: ItemScorer;
  readonly bodies: Pick<ItemBodies, 'acquire'>;
  readonly logger: Logger;
  /** Schedules a placement of waiting items. */
  readonly schedule: () => void;
}

/** Scores the complete texts of a dispatcher's items and appends the items' results to the logs of their batches. */
export class ItemResults implements Disposable {
  readonly #options: ItemResultsOptions;

  /** Aborts the scoring calls of a batch, by batch. */
  readonly #scoring = new Map<string, AbortController>();

  #closed = false;

  constructor(options: ItemResultsOptions) {
    this.#options = options;
  }

  addBatch(batchId: string): void {
    this.#scoring.set(batchId, new AbortController());
  }

  /** Aborts the scoring calls of a batch. */
  endBatch(batchId: string): void {
    this.#scoring.get(batchId)?.abort();
  }

  removeBatch(batchId: string): void {
    this.#scoring.delete(batchId);
  }

  /** Gets the score of an item whose text is complete, if it has one, and stores the result. */
  async score(state: ItemState): Promise<void> {
    const { batch, item } = state;
    state.startScoring();
    const signal = this.#scoring.get(batch.record.id)?.signal;
    const score =
      item.scoring === undefined || signal === undefined
        ? ''
        : await this.#score(state, item.scoring, signal);
    if (signal?.aborted || this.#closed) return;
    this.#finish(state, score);
  }

  /** Stores an item as dead. */
  giveUp(state: ItemState): void {
    this.#finish(state, undefined);
  }

  [Symbol.dispose](): void {
    this.#closed = true;
    for (const abort of this.#scoring.values()) abort.abort();
  }

  /** Returns the score; undefined if the item must be given up, or `signal` is aborted. */
  async #score(
    state: ItemState,
    scoring: ScoringCall,
    signal: AbortSignal,
  ): Promise<string | undefined> {
    const { scorer, bodies, clock, logger } = this.#options;
    const { batch, item, hasLargeBody } = state;
    if (!hasLargeBody) return scorer.score(scoring, signal);
    while (!signal.aborted) {
      try {
        using held = await bodies.acquire(batch.record.id, item.id, signal);
        // A late attempt may still send the body when the score has arrived.
        const body = new Uint8Array(held.scoring.bytes);
        return await scorer.score({ ...scoring, body }, signal);
      } catch (error) {
        logger.info('scoring-body-unread', { item: item.id, message: messageOf(error) });
        await sleep(clock, BODY_RETRY_MS, signal);
      }
    }
    return undefined;
  }

  /** @param score - undefined to give up the item */
  #finish(state: ItemState, score: string | undefined): void {
    const { batch, item, text } = state;
    if (batch.ended || state.closed) return;
    if (score === undefined) {
      this.#options.logger.info('item-given-up', {
        batch: batch.record.id,
        item: item.id,
        scoring: state.isTextComplete ? item.scoring?.id : undefined,
        failedRuns: state.failedAttempts,
      });
    }
    const isGroupDone = batch.finish(state);
    batch.log.append(
      create(ItemResultSchema, {
        itemId: item.id,
        state: score === undefined ? ResultState.DEAD : ResultState.COMPLETED,
        events: score === undefined ? [] : [...text.events],
        versions: score === undefined ? [] : text.versions,
        score: score ?? '',
      }),
    );
    if (isGroupDone && batch.missingGroups <= 0) batch.log.flush();
    this.#options.schedule();
  }
}
