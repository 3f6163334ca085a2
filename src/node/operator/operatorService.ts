import { create } from '@bufbuild/protobuf';
import { timestampFromMs } from '@bufbuild/protobuf/wkt';
import { Code, ConnectError, type ServiceImpl } from '@connectrpc/connect';
import {
  ApplyResult,
  type ApplyTablesRequest,
  type ApplyTablesResponse,
  ApplyTablesResponseSchema,
  type GetJobsResponse,
  GetJobsResponseSchema,
  type GetNodesResponse,
  GetNodesResponseSchema,
  type GetWorkersResponse,
  GetWorkersResponseSchema,
  GetHistoryResponseSchema,
  GetTablesResponseSchema,
  type OperatorService,
  type SetDrainRequest,
  type SetDrainResponse,
} from '../../gen/hyssoppulley/v1/operator_pb.ts';
import { messageOf } from '../../shared/errors.ts';
import type { Configuration } from './configuration.ts';
import type { ApplyOutcome, ConfigurationCoordinator } from './configurationCoordinator.ts';
import { checkTablesMessage, tablesDocument } from './tablesDocument.ts';

export interface OperatorServiceOptions {
  readonly configuration: Configuration;
  readonly coordinator: ConfigurationCoordinator;
  /** @default returns no nodes */
  readonly getNodes?: () => GetNodesResponse;
  /** Returns the workers of one pool, or of every pool if the name is empty. @default returns no workers */
  readonly getWorkers?: (pool: string) => GetWorkersResponse;
  /** @default returns no jobs */
  readonly getJobs?: () => GetJobsResponse | Promise<GetJobsResponse>;
  /** @default the call fails as unimplemented */
  readonly setDrain?: (request: SetDrainRequest) => Promise<SetDrainResponse>;
}

const APPLY_RESULTS = {
  'in-force': ApplyResult.IN_FORCE,
  accepted: ApplyResult.ACCEPTED,
  refused: ApplyResult.REFUSED,
  unknown: ApplyResult.UNKNOWN,
} as const satisfies Record<ApplyOutcome['result'], ApplyResult>;

const applyTables = async (
  { coordinator }: OperatorServiceOptions,
  request: ApplyTablesRequest,
  signal: AbortSignal,
): Promise<ApplyTablesResponse> => {
  const { tables, operationId, ifRevision, waitMs, repeatedCall } = request;
  if (!tables || operationId === '') {
    throw new ConnectError('tables and operation_id are required', Code.InvalidArgument);
  }
  try {
    checkTablesMessage(tables);
  } catch (error) {
    throw new ConnectError(messageOf(error), Code.InvalidArgument);
  }
  const { result, missingNodes, ...outcome } = await coordinator.apply({
    ...tablesDocument(tables),
    operationId,
    ifRevision,
    waitMs,
    repeatedCall,
    signal,
  });
  return create(ApplyTablesResponseSchema, {
    ...outcome,
    result: APPLY_RESULTS[result],
    missingNodes: [...missingNodes],
    operationId,
  });
};

/** Creates the handlers of `OperatorService`. */
export const createOperatorService = (
  options: OperatorServiceOptions,
): ServiceImpl<typeof OperatorService> => {
  const { configuration } = options;
  return {
    applyTables: (request, { signal }) => applyTables(options, request, signal),
    getTables: () => {
      const { acceptedRevision } = configuration.revisions();
      const tables = configuration.current()?.source;
      return create(GetTablesResponseSchema, { revision: acceptedRevision, tables });
    },
    getHistory: async () => {
      try {
        const { head } = await configuration.refresh();
        return create(GetHistoryResponseSchema, {
          entries: (head.history ?? []).map(({ acceptedAtMs, ...entry }) => ({
            ...entry,
            acceptedAt: timestampFromMs(acceptedAtMs),
          })),
        });
      } catch (error) {
        throw new ConnectError(
          `the platform, which stores the history, did not answer: ${messageOf(error)}`,
          Code.Unavailable,
        );
      }
    },
    getNodes: () => options.getNodes?.() ?? create(GetNodesResponseSchema),
    getWorkers: ({ pool }) => options.getWorkers?.(pool) ?? create(GetWorkersResponseSchema),
    getJobs: () => options.getJobs?.() ?? create(GetJobsResponseSchema),
    setDrain: (request) => {
      if (options.setDrain) return options.setDrain(request);
      throw new ConnectError('this node does not support draining', Code.Unimplemented);
    },
  };
};
