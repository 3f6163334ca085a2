import { type DescMessage, type MessageShape, toJson } from '@bufbuild/protobuf';
import type { Client } from '@connectrpc/connect';
import {
  GatewayOperatorService,
  ListAccountsResponseSchema,
  ListDutiesResponseSchema,
  ListSuspectsResponseSchema,
  ListUploadsResponseSchema,
  ListUsageResponseSchema,
  ListWorkerOrdersResponseSchema,
} from '../../gen/hyssoppulley/v1/gateway_operator_pb.ts';
import { callFirstNode } from './cliConnection.ts';
import { commandError, ExitCode } from './cliErrors.ts';
import type { NodeOptions } from './cliOptions.ts';
import { formatOutput, type Row } from './cliOutput.ts';
import type { GatewayViewName } from './gatewayViewNames.ts';
import type { ViewOptions } from './cliViews.ts';

type GatewayClient = Client<typeof GatewayOperatorService>;

/** Calls a node and formats its response. */
type GatewayView = (options: ViewOptions) => Promise<string>;

const callNode = <T>({ node }: NodeOptions, call: (client: GatewayClient) => Promise<T>) =>
  callFirstNode(GatewayOperatorService, node, call, true);

const viewOf =
  <Response extends DescMessage>(
    schema: Response,
    call: (client: GatewayClient) => Promise<MessageShape<Response>>,
    toRows: (response: MessageShape<Response>) => readonly Row[],
  ): GatewayView =>
  async (options) => {
    const response = await callNode(options, call);
    return formatOutput(options.output, toJson(schema, response), toRows(response));
  };

const VIEWS: Readonly<Record<GatewayViewName, GatewayView>> = {
  accounts: viewOf(
    ListAccountsResponseSchema,
    (client) => client.listAccounts({}),
    ({ revision, accounts }) =>
      accounts.map(({ name, keys, priority, requests, waiting, refused }) => ({
        ...{ name, keys, priority: priority ?? 'of the route' },
        ...{ requests: String(requests), waiting, refused: String(refused) },
        revision: String(revision),
      })),
  ),
  usage: viewOf(
    ListUsageResponseSchema,
    (client) => client.listUsage({}),
    ({ windows }) =>
      windows.flatMap(({ window, state, requests }) =>
        Object.entries(requests).map(([account, count]) => ({
          ...{ window: String(window), state, account, requests: count },
        })),
      ),
  ),
  duties: viewOf(
    ListDutiesResponseSchema,
    (client) => client.listDuties({}),
    ({ duties }) =>
      duties.map(({ name, holder, term, lastResult, lastCallAgeMs }) => ({
        ...{ name, holder, term, 'last result': lastResult },
        'last call ms ago': lastResult === '' ? '' : lastCallAgeMs,
      })),
  ),
  'worker-orders': viewOf(
    ListWorkerOrdersResponseSchema,
    (client) => client.listWorkerOrders({}),
    ({ orders }) =>
      orders.map(({ pool, availabilityZone, spot, ordered, registered, reason }) => ({
        ...{ pool, zone: availabilityZone, spot, ordered, registered, reason },
      })),
  ),
  suspects: viewOf(
    ListSuspectsResponseSchema,
    (client) => client.listSuspects({}),
    ({ suspects }) =>
      suspects.map(({ digest, workerEnds, verdict, lastEndAgeMs }) => ({
        ...{ digest, 'workers ended': workerEnds, verdict, 'last end ms ago': lastEndAgeMs },
      })),
  ),
  uploads: viewOf(
    ListUploadsResponseSchema,
    (client) => client.listUploads({}),
    ({ limitBytes, heldBytes, connections, refused }) => [
      { name: 'limit bytes', value: String(limitBytes) },
      { name: 'held bytes', value: String(heldBytes) },
      { name: 'connections', value: connections },
      ...Object.entries(refused).map(([reason, count]) => ({
        ...{ name: `refused: ${reason}`, value: String(count) },
      })),
    ],
  ),
};

/** Formats what a gateway node knows. */
export const showGatewayView = (name: GatewayViewName, options: ViewOptions): Promise<string> =>
  VIEWS[name](options);

/**
 * Allows a suspected request to be sent to workers again.
 *
 * @returns what to print
 * @throws CommandError when the node does not suspect a request with this digest
 */
export const clearSuspect = async (options: NodeOptions, digest: string): Promise<string> => {
  const { found } = await callNode(options, (client) => client.clearSuspect({ digest }));
  if (found) return `suspect ${digest} is cleared`;
  throw commandError(
    ExitCode.REFUSED,
    `no request with the digest ${digest} is suspected; see get suspects`,
  );
};
