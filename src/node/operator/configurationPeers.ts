import type { JsonValue } from '@bufbuild/protobuf';
import type { NodeIdentity } from '../../gen/hyssoppulley/v1/peer_pb.ts';

/** Calls of a coordinator to another node. Each rejects when the node does not answer in time. */
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
  /** Returns the accepted revision of the node. */
  commit(
    node: NodeIdentity,
    request: { readonly revision: number; readonly operationId: string },
  ): Promise<number>;
}

/** Runs `work` for each item, at most `limit` at once. */
export const forEachLimited = async <T>(
  items: readonly T[],
  limit: number,
  work: (item: T) => Promise<void>,
): Promise<void> => {
  const rest = items.values();
  const worker = async () => {
    // The iterator is shared: each worker takes the next item.
    for (const item of rest) await work(item);
  };
  await Promise.all(Array.from({ length: Math.min(limit, items.length) }, worker));
};
