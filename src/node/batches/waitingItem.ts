import type { BatchItem } from '../../gen/hyssoppulley/v1/batch_pb.ts';
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

/** Converts an item to the form that the item placement needs. */
export const toWaitingItem = (
  key: string,
  state: ItemState,
  tokensPerEvent: number,
  suspected: boolean,
): WaitingItem => {
  const { item, text, batch, avoidedWorker } = state;
  return {
    key,
    batchRank: Number(batch.record.submittedAtMs) + batch.record.priority * PRIORITY_STEP_MS,
    expectedTokens: remainingTokens(state, tokensPerEvent),
    prompt: sharedPromptOf(item),
    model: batch.record.model,
    allows: (version) => text.allows(version),
    avoidedWorker,
    suspected,
  };
};
