import type { BatchItem } from '../../gen/hyssoppulley/v1/batch_pb.ts';
import type { WaitingItem } from '../decisions/itemPlacement.ts';
import type { ItemState } from './itemState.ts';

/** Time by which a batch goes before one of the next lower priority, in ms: about a quarter of a step. */
const PRIORITY_STEP_MS = 1500;

/** Name of the part of a prompt that a group shares. */
export const promptOf = ({ promptParts }: BatchItem): string =>
  (promptParts.length > 1 ? promptParts.slice(0, -1) : promptParts).map(({ id }) => id).join('/');

/** Tokens that an item is likely to generate. */
export const expectedTokens = ({ expectedOutputTokens, maxOutputTokens }: BatchItem): number =>
  expectedOutputTokens || maxOutputTokens;

/** An item as the placement sees it. */
export const waitingItem = (
  key: string,
  { item, text, batch, avoid }: ItemState,
  tokensPerEvent: number,
): WaitingItem => {
  const done = text.events.length * tokensPerEvent;
  const expected = expectedTokens(item);
  return {
    key,
    batchRank: Number(batch.record.submittedAtMs) + batch.record.priority * PRIORITY_STEP_MS,
    // An item that is longer than was expected is likely to be one of the longest.
    expectedTokens: done < expected ? expected - done : done / 2,
    prompt: promptOf(item),
    model: batch.record.model,
    allows: (version) => text.allows(version),
    avoid,
  };
};
