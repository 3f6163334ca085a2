import type { MessageInitShape } from '@bufbuild/protobuf';
import type {
  BatchDemandSchema,
  ReportDemandRequestSchema,
} from '../../gen/hyssoppulley/v1/demand_pb.ts';
import type { BatchState } from './batchState.ts';
import { remainingTokens } from './waitingItem.ts';

/** Demand of a pool as its dispatcher knows it. */
export type DispatcherDemand = MessageInitShape<typeof ReportDemandRequestSchema>;

/** Maximum number of batches in a report; the most urgent ones stay. Nine trainers with three open steps have 27. */
const MAX_BATCHES = 256;

/** Longest due time that a report can express, in ms. */
const MAX_DUE_MS = 2 ** 31 - 1;

/**
 * Describes the work that open batches still need from workers. Texts that only wait for their score need none.
 *
 * @param nowMs - wall clock time
 */
export const batchDemands = (
  batches: readonly BatchState[],
  tokensPerEvent: number,
  nowMs: number,
): MessageInitShape<typeof BatchDemandSchema>[] =>
  batches
    .map(({ record, items }) => {
      const open = [...items.values()].filter(
        ({ phase, isTextComplete }) =>
          phase === 'running' || (phase === 'waiting' && !isTextComplete),
      );
      const dueInMs = Number(record.submittedAtMs) + record.resultDeadlineMs - nowMs;
      const tokensLeft = open.reduce((sum, item) => sum + remainingTokens(item, tokensPerEvent), 0);
      return {
        ...{ batchId: record.id, model: record.model, tokensLeft: Math.round(tokensLeft) },
        waitingItems: open.filter(({ phase }) => phase === 'waiting').length,
        runningItems: open.filter(({ phase }) => phase === 'running').length,
        dueInMs: Math.round(Math.max(-MAX_DUE_MS, Math.min(MAX_DUE_MS, dueInMs))),
      };
    })
    .sort((left, right) => left.dueInMs - right.dueInMs)
    .slice(0, MAX_BATCHES);
