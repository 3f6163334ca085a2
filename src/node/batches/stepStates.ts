import type { StepState } from '../decisions/items/stepOrder.ts';
import type { BatchState } from './batchState.ts';
import type { ItemState } from './itemState.ts';
import { batchDelayMs, batchRankOf, remainingTokens } from './waitingItem.ts';

/** Due time of a batch without a deadline, in ms after its submission: so late that nothing contends with it. */
const NO_DEADLINE_MS = 3_600_000;

/** Identifies the group of an item among those of all batches. */
export const groupKeyOf = ({ batch, item }: ItemState): string =>
  `${batch.record.id}/${item.group}`;

export interface StepStatesOptions {
  readonly tokensPerEvent: number;
  /** Typical time between two events, in ms. */
  readonly eventGapMs: number;
  /** Wall clock time. */
  readonly nowMs: number;
}

/** Describes open batches as the order of steps needs them. */
export const toStepStates = (
  batches: readonly BatchState[],
  { tokensPerEvent, eventGapMs, nowMs }: StepStatesOptions,
): StepState[] => {
  const workOf = (state: ItemState) => {
    const needsWorker = state.phase === 'running' || state.phase === 'waiting';
    if (!needsWorker || state.isTextComplete) return 0;
    return (remainingTokens(state, tokensPerEvent) / tokensPerEvent) * eventGapMs;
  };
  return batches.map((batch) => {
    const { record, missingGroups } = batch;
    const items = [...batch.items.values()];
    const groups = Map.groupBy(items, groupKeyOf);
    return {
      ...{ batch: record.id, rank: batchRankOf(record), missingGroups },
      delayMs: batchDelayMs(record),
      dueInMs: Number(record.submittedAtMs) + (record.resultDeadlineMs || NO_DEADLINE_MS) - nowMs,
      runningItems: items.filter(({ phase }) => phase === 'running').length,
      groups: [...groups]
        .filter(([, members]) => members.some(({ closed }) => !closed))
        .map(([key, members]) => {
          const work = members.map(workOf);
          const waitingItems = members.filter(({ phase }) => phase === 'waiting').length;
          return {
            ...{ key, waitingItems, startedItems: members.length - waitingItems },
            workMs: work.reduce((sum, workMs) => sum + workMs, 0),
            longestMs: Math.max(...work),
          };
        }),
    };
  });
};
