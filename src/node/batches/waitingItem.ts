import type { BatchItem, BatchRecord } from '../../gen/hyssoppulley/v1/batch_pb.ts';
import type { WaitingItem } from '../decisions/items/itemPlacement.ts';
import type { ItemState } from './itemState.ts';

/** Head start of a batch over one of the next lower priority, in ms: about a quarter of a training step. */
const PRIORITY_STEP_MS = 1500;

/** Identifies the part of an item's prompt that the items of its group share. */
export const sharedPromptOf = ({ promptParts }: BatchItem): string =>
  (promptParts.length > 1 ? promptParts.slice(0, -1) : promptParts).map(({ id }) => id).join('/');

/** Expected number of tokens that an item generates. Falls back to its maximum. */
export const expectedTokens = ({ expectedOutputTokens, maxOutputTokens }: BatchItem): number =>
  expectedOutputTokens || maxOutputTokens;

/**
 * Expected number of tokens that an item still generates. An item that exceeds its expected length is likely to be one of
 * the longest, so its estimate grows with its text.
 */
export const remainingTokens = ({ item, text }: ItemState, tokensPerEvent: number): number => {
  const done = text.events.length * tokensPerEvent;
  const expected = expectedTokens(item);
  return done < expected ? expected - done : done / 2;
};

/** Time by which a batch of the most urgent priority goes before one of this priority, in ms. */
export const batchDelayMs = ({ priority }: BatchRecord): number => priority * PRIORITY_STEP_MS;

/** Rank of a batch by submission time and priority; lower ranks go first. */
export const batchRankOf = (record: BatchRecord): number =>
  Number(record.submittedAtMs) + batchDelayMs(record);

/** Converts an item to the form that the item placement needs. */
export const toWaitingItem = (
  key: string,
  state: ItemState,
  tokensPerEvent: number,
  suspicion: WaitingItem['suspicion'],
): WaitingItem => {
  const { item, text, batch, avoidedWorker } = state;
  return {
    key,
    batchRank: batchRankOf(batch.record),
    expectedTokens: remainingTokens(state, tokensPerEvent),
    prompt: sharedPromptOf(item),
    model: batch.record.model,
    allows: (version) => text.allows(version),
    avoidedWorker,
    suspicion,
  };
};
