import type { JsonValue } from '@bufbuild/protobuf';
import type { NodeIdentity } from '../../gen/hyssoppulley/v1/peer_pb.ts';

/** Calls of a coordinator to other nodes. Each call rejects if the node does not respond in time. */
export interface ConfigurationPeers {
  prepare(
    node: NodeIdentity,
    request: {
      readonly revision: number;
      readonly operationId: string;
      readonly digest: string;
      readonly tables: JsonValue;
      readonly headVersion: number;
      readonly silentNodes: readonly string[];
    },
  ): Promise<{
    readonly confirmed: boolean;
    readonly reason: string;
    readonly lastHeardMs: Readonly<Record<string, number>>;
  }>;
  /** Resolves to the node's accepted revision. */
  commit(
    node: NodeIdentity,
    request: { readonly revision: number; readonly operationId: string },
  ): Promise<number>;
}
