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

/** Runs `work` for each item, for at most `limit` items concurrently. */
export const forEachLimited = async <T>(
  items: readonly T[],
  limit: number,
  work: (item: T) => Promise<void>,
): Promise<void> => {
  const remaining = items.values();
  const worker = async () => {
    // All workers share the iterator, so each takes the next unprocessed item.
    for (const item of remaining) await work(item);
  };
  await Promise.all(Array.from({ length: Math.min(limit, items.length) }, worker));
};
