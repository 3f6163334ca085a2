import { create, fromJson } from '@bufbuild/protobuf';
import type { ServiceImpl } from '@connectrpc/connect';
import {
  CommitResponseSchema,
  FetchTablesResponseSchema,
  type NodeIdentity,
  type PeerService,
  PrepareResponseSchema,
} from '../../gen/hyssoppulley/v1/peer_pb.ts';
import { TablesSchema } from '../../gen/hyssoppulley/v1/tables_pb.ts';
import type { PeerClients } from '../membership/peerClients.ts';
import type { Configuration } from './configuration.ts';
import type { ConfigurationPeers } from './configurationPeers.ts';
import { tablesDocument } from './tablesDocument.ts';

export interface ConfigurationHandlerOptions {
  readonly configuration: Configuration;
  /** Time since this node last heard from another node, at most this node's uptime, in ms. */
  readonly lastHeardMs: (nodeName: string) => number;
  readonly mayServe: () => boolean;
}

/** Creates the handlers of the `PeerService` calls that belong to the configuration commit. */
export const createConfigurationHandlers = ({
  configuration,
  lastHeardMs,
  mayServe,
}: ConfigurationHandlerOptions) =>
  ({
    fetchTables: () => {
      const { acceptedRevision, preparedRevision } = configuration.revisions();
      return create(FetchTablesResponseSchema, {
        revision: acceptedRevision,
        tables: configuration.current()?.source,
        preparedRevision,
        serving: mayServe(),
        operationId: configuration.operationId,
      });
    },
    prepare: ({ revision, operationId, tables, silentNodes, headVersion }) => {
      const vote = tables
        ? configuration.prepare(
            { revision, operationId, ...tablesDocument(tables) },
            Number(headVersion),
          )
        : { confirmed: false, reason: 'the call contained no tables' };
      return create(PrepareResponseSchema, {
        ...vote,
        acceptedRevision: configuration.revisions().acceptedRevision,
        lastHeardMs: Object.fromEntries(
          silentNodes.map((name) => [name, Math.max(0, Math.floor(lastHeardMs(name)))]),
        ),
      });
    },
    commit: async ({ revision, operationId }) => {
      let acceptedRevision = configuration.commit(revision, operationId);
      if (acceptedRevision < revision || !mayServe()) {
        // Either this node missed the proposal, or these are its first tables and reading the head renews its lease.
        await configuration.refresh().catch(() => undefined);
        acceptedRevision = configuration.revisions().acceptedRevision;
      }
      return create(CommitResponseSchema, { acceptedRevision });
    },
  }) satisfies Partial<ServiceImpl<typeof PeerService>>;

/** Creates the client side: calls other nodes over their peer port. */
export const createConfigurationPeers = (clients: PeerClients): ConfigurationPeers => ({
  async prepare(node, { tables, headVersion, silentNodes, ...request }) {
    const { confirmed, reason, lastHeardMs } = await clients.peer(node).prepare({
      ...request,
      tables: fromJson(TablesSchema, tables),
      headVersion: BigInt(headVersion),
      silentNodes: [...silentNodes],
    });
    return { confirmed, reason, lastHeardMs };
  },
  async commit(node, request) {
    const { acceptedRevision } = await clients.peer(node).commit(request);
    return acceptedRevision;
  },
});

/**
 * Fetches and adopts the accepted tables of a peer. Used after a heartbeat reported a newer revision, and at a start
 * without the platform.
 *
 * @returns whether the peer's tables are usable
 */
export const fetchFromPeer = async (
  clients: PeerClients,
  configuration: Configuration,
  peer: Pick<NodeIdentity, 'host' | 'peerPort'>,
): Promise<boolean> => {
  const { revision, tables, preparedRevision, serving, operationId } = await clients
    .peer(peer)
    .fetchTables({});
  if (!tables) return false;
  const acceptedRevision = revision;
  return configuration.adoptFromPeer({
    acceptedRevision,
    preparedRevision,
    serving,
    operationId,
    tables,
  });
};
