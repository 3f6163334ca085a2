import { preferredNode } from './rendezvous.ts';

/** A node that could dispatch a pool. */
export interface DispatcherCandidate {
  readonly name: string;
  readonly incarnation: string;
  /** Processor time in thousandths of a core. */
  readonly capacityMillicores: number;
  /** It answers its peers, is not leaving, and the platform answers it. */
  readonly able: boolean;
}

/** Time that each candidate leaves to the one before it, in ms: a claim is one read and one write at the platform. */
export const CLAIM_STEP_MS = 300;

const compare = (pool: string, left: DispatcherCandidate, right: DispatcherCandidate): number => {
  if (left.capacityMillicores !== right.capacityMillicores) {
    return right.capacityMillicores - left.capacityMillicores;
  }
  return preferredNode(pool, [left.name, right.name]) === left.name ? -1 : 1;
};

/**
 * How long a node waits before it claims a pool whose dispatcher is gone, in ms: not at all when it comes first among
 * the able candidates. Undefined: it does not claim.
 */
export const claimDelayMs = (
  pool: string,
  self: DispatcherCandidate,
  peers: readonly DispatcherCandidate[],
): number | undefined => {
  if (!self.able) return undefined;
  const before = peers.filter((peer) => peer.able && compare(pool, peer, self) < 0);
  return before.length * CLAIM_STEP_MS;
};
