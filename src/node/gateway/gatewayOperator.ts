import { create } from '@bufbuild/protobuf';
import type { ServiceImpl } from '@connectrpc/connect';
import {
  type AccountStatus,
  ClearSuspectResponseSchema,
  type DutyStatus,
  type GatewayOperatorService,
  ListAccountsResponseSchema,
  ListDutiesResponseSchema,
  ListSuspectsResponseSchema,
  type ListUploadsResponse,
  ListUsageResponseSchema,
  ListWorkerOrdersResponseSchema,
  type SuspectStatus,
  type UsageStatus,
  type WorkerOrderStatus,
} from '../../gen/hyssoppulley/v1/gateway_operator_pb.ts';

/** What the parts of a node tell its operators. */
export interface GatewayOperatorViews {
  /** Revision of the tables in force. */
  readonly revision: () => number;
  readonly accounts: () => readonly AccountStatus[];
  readonly usage: () => readonly UsageStatus[];
  readonly duties: () => readonly DutyStatus[];
  readonly workerOrders: () => readonly WorkerOrderStatus[];
  readonly suspects: () => readonly SuspectStatus[];
  /** @returns whether the digest is that of a suspected request */
  readonly clearSuspect: (digest: string) => boolean;
  readonly uploads: () => ListUploadsResponse;
}

/** Creates the handlers for requests of operators to a gateway node. */
export const createGatewayOperatorHandlers = (
  views: GatewayOperatorViews,
): ServiceImpl<typeof GatewayOperatorService> => ({
  listAccounts: () =>
    create(ListAccountsResponseSchema, {
      revision: BigInt(views.revision()),
      accounts: [...views.accounts()],
    }),
  listUsage: () => create(ListUsageResponseSchema, { windows: [...views.usage()] }),
  listDuties: () => create(ListDutiesResponseSchema, { duties: [...views.duties()] }),
  listWorkerOrders: () =>
    create(ListWorkerOrdersResponseSchema, { orders: [...views.workerOrders()] }),
  listSuspects: () => create(ListSuspectsResponseSchema, { suspects: [...views.suspects()] }),
  clearSuspect: ({ digest }) =>
    create(ClearSuspectResponseSchema, { found: views.clearSuspect(digest) }),
  listUploads: () => views.uploads(),
});
