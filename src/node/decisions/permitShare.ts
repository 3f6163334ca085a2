import { preferredEntries, type SizedEntry } from './preferredEntries.ts';
import { preferredNode } from './rendezvous.ts';

/** A node as seen by the node that decides. */
export interface IssuerCandidate extends SizedEntry {
  readonly name: string;
  /** Whether it does not answer, by this node's or others' observation. */
  readonly suspected: boolean;
  /** Whether it is about to stop. */
  readonly leaving: boolean;
}

/** Part of a limit that a node issues while it takes another node for the issuer: bounds what two of them issue together. */
const STAND_IN_SHARE = 0.25;

/** The node that issues the permits of a pool, among those that are live; all nodes with the same view choose the same one. */
export const permitIssuerOf = <T extends IssuerCandidate>(
  pool: string,
  nodes: readonly T[],
): T | undefined => {
  const live = nodes.filter(({ suspected, leaving }) => !suspected && !leaving);
  const eligible = preferredEntries(live);
  const chosen = preferredNode(
    `permits/${pool}`,
    eligible.map(({ name }) => name),
  );
  return eligible.find(({ name }) => name === chosen);
};

/**
 * Part of each limit that a node may issue. Nodes that don't answer may be on the other side of a partition, with an issuer
 * of their own, so their part stays unused.
 */
export const permitShareOf = (
  self: string,
  pool: string,
  nodes: readonly IssuerCandidate[],
): number => {
  if (permitIssuerOf(pool, nodes)?.name !== self) return STAND_IN_SHARE;
  const suspected = nodes.filter((node) => node.suspected).length;
  return (nodes.length - suspected) / nodes.length;
};
