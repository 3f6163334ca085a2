import { preferredNode } from './rendezvous.ts';

/** A node that may become the holder of a subject, such as the dispatcher of a pool. */
export interface HolderCandidate {
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
  subject: string,
  left: HolderCandidate,
  right: HolderCandidate,
): number => {
  if (left.capacityMillicores !== right.capacityMillicores) {
    return right.capacityMillicores - left.capacityMillicores;
  }
  return preferredNode(subject, [left.name, right.name]) === left.name ? -1 : 1;
};

/**
 * Delay before a node claims a subject whose holder is gone, in ms; 0 for the first of the eligible candidates, which
 * are ordered by capacity. Undefined if the node must not claim it.
 */
export const claimDelayMs = (
  subject: string,
  self: HolderCandidate,
  peers: readonly HolderCandidate[],
): number | undefined => {
  if (!self.eligible) return undefined;
  const preferred = peers.filter(
    (peer) => peer.eligible && compareCandidates(subject, peer, self) < 0,
  );
  return preferred.length * CLAIM_STAGGER_MS;
};

/** The eligible node that claims first; undefined if none is eligible. */
export const nextCandidate = (
  subject: string,
  candidates: readonly HolderCandidate[],
): HolderCandidate | undefined =>
  candidates
    .filter(({ eligible }) => eligible)
    .reduce<HolderCandidate | undefined>(
      (first, each) =>
        first === undefined || compareCandidates(subject, each, first) < 0 ? each : first,
      undefined,
    );
