import { preferredNode } from './rendezvous.ts';

/** A node that may become the dispatcher of a pool. */
export interface DispatcherCandidate {
  readonly name: string;
  readonly incarnation: string;
  /** CPU capacity in thousandths of a core. */
  readonly capacityMillicores: number;
  /** Whether the node responds to its peers, is not leaving, and can reach the platform. */
  readonly eligible: boolean;
}

/** Delay between the claims of consecutive candidates, in ms; a claim takes one read and one write at the platform. */
export const CLAIM_STAGGER_MS = 300;

const compareCandidates = (
  pool: string,
  left: DispatcherCandidate,
  right: DispatcherCandidate,
): number => {
  if (left.capacityMillicores !== right.capacityMillicores) {
    return right.capacityMillicores - left.capacityMillicores;
  }
  return preferredNode(pool, [left.name, right.name]) === left.name ? -1 : 1;
};

/**
 * Delay before a node claims a pool whose dispatcher is gone, in ms; 0 for the first of the eligible candidates, which
 * are ordered by capacity. Undefined if the node must not claim the pool.
 */
export const claimDelayMs = (
  pool: string,
  self: DispatcherCandidate,
  peers: readonly DispatcherCandidate[],
): number | undefined => {
  if (!self.eligible) return undefined;
  const preferred = peers.filter(
    (peer) => peer.eligible && compareCandidates(pool, peer, self) < 0,
  );
  return preferred.length * CLAIM_STAGGER_MS;
};
