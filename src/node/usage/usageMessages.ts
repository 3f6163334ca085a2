import { create } from '@bufbuild/protobuf';
import { type NodeCounts, NodeCountsSchema } from '../../gen/hyssoppulley/v1/usage_pb.ts';
import type { NodeUsage } from '../decisions/usage/usageLedger.ts';

/** Maximum size of the counts in a message, in bytes. */
export const MAX_MESSAGE_BYTES = 64 * 1024;

/** Upper estimate of the encoded size of a window or node without its accounts, in bytes. */
const ENVELOPE_BYTES = 48;

/** Upper estimate of the encoded size of an account and its count, in bytes. */
const accountBytes = (account: string): number => Buffer.byteLength(account) + 12;

const windowBytes = (requests: ReadonlyMap<string, number>): number =>
  [...requests.keys()].reduce((sum, account) => sum + accountBytes(account), ENVELOPE_BYTES);

/** The accounts of a window up to a size. */
const truncated = (
  requests: ReadonlyMap<string, number>,
  maxBytes: number,
): ReadonlyMap<string, number> => {
  let sizeBytes = ENVELOPE_BYTES;
  const fitting = [...requests].filter(([account]) => {
    sizeBytes += accountBytes(account);
    return sizeBytes <= maxBytes;
  });
  return new Map(fitting);
};

/** Counts that fit into one message. */
export interface EncodedUsage {
  readonly counts: NodeCounts[];
  /** Number of windows that did not fit. */
  readonly omittedWindows: number;
  /** Number of accounts that are left out of a window that fits into no message. */
  readonly omittedAccounts: number;
}

/** Encodes counts of nodes up to `MAX_MESSAGE_BYTES`: the first windows of the first nodes. */
export const encodeUsage = (nodes: readonly NodeUsage[]): EncodedUsage => {
  let remainingBytes = MAX_MESSAGE_BYTES - nodes.length * ENVELOPE_BYTES;
  let omittedWindows = 0;
  let omittedAccounts = 0;
  const fullBytes = remainingBytes;
  const counts = nodes.map(({ incarnation, windows, completeUntilMs }) => {
    const fitting = windows.flatMap(({ window, requests }) => {
      const isAlone = remainingBytes === fullBytes;
      const sizeBytes = windowBytes(requests);
      if (omittedWindows > 0 || (sizeBytes > remainingBytes && !isAlone)) {
        omittedWindows += 1;
        return [];
      }
      const included = sizeBytes > remainingBytes ? truncated(requests, remainingBytes) : requests;
      omittedAccounts += requests.size - included.size;
      remainingBytes -= Math.min(sizeBytes, remainingBytes);
      return [{ window: BigInt(window), requests: Object.fromEntries(included) }];
    });
    return create(NodeCountsSchema, {
      incarnation,
      completeUntilMs: BigInt(Math.max(0, Math.floor(completeUntilMs))),
      windows: fitting,
    });
  });
  return { counts, omittedWindows, omittedAccounts };
};

/** Decodes the counts of a node. */
export const decodeUsage = ({ incarnation, windows, completeUntilMs }: NodeCounts): NodeUsage => ({
  incarnation,
  completeUntilMs: Number(completeUntilMs),
  windows: windows.map(({ window, requests }) => ({
    window: Number(window),
    requests: new Map(Object.entries(requests)),
  })),
});
