import { preferredNode } from './rendezvous.ts';

/** Nodes that watch the platform for all others; one may fail while the others learn of it. */
export const RELAY_COUNT = 2;

/** A node as the choice of relays sees it. */
export interface RelayCandidate {
  readonly name: string;
  readonly availabilityZone: string;
  /** Processor time in thousandths of a core. */
  readonly capacityMillicores: number;
  /** It answers its peers and is not leaving. */
  readonly reachable: boolean;
  /** The platform does not answer it. */
  readonly platformLost: boolean;
}

/** Nodes that could be relays. While the platform answers none, the same few go on asking for all. */
const ableNodes = <T extends RelayCandidate>(candidates: readonly T[]): T[] => {
  const reachable = candidates.filter((candidate) => candidate.reachable);
  const able = reachable.filter(({ platformLost }) => !platformLost);
  return able.length > 0 ? able : reachable;
};

/**
 * Chooses the nodes that watch the platform, the same at all nodes that see the same candidates. They answer all others,
 * so those with the most processor time come first.
 */
export const chooseRelays = <T extends RelayCandidate>(candidates: readonly T[]): T[] => {
  const rest = ableNodes(candidates);
  const chosen: T[] = [];
  while (chosen.length < RELAY_COUNT && rest.length > 0) {
    const largest = Math.max(...rest.map(({ capacityMillicores }) => capacityMillicores));
    const name = preferredNode(
      'relay',
      rest
        .filter(({ capacityMillicores }) => capacityMillicores === largest)
        .map((candidate) => candidate.name),
    );
    const index = rest.findIndex((candidate) => candidate.name === name);
    chosen.push(...rest.splice(index, 1));
  }
  return chosen;
};

/** The other relays, when a node is one; undefined when it is none. */
export const otherRelays = <T extends RelayCandidate>(
  self: T,
  peers: readonly T[],
): T[] | undefined => {
  const relays = chooseRelays([self, ...peers]);
  return relays.includes(self) ? relays.filter((relay) => relay !== self) : undefined;
};

/**
 * The relays in the order in which a node asks them: those of its zone first, the rest in an order of its own, so that
 * the nodes spread over the relays. Empty when the node is a relay itself.
 */
export const relaysFor = <T extends RelayCandidate>(self: T, peers: readonly T[]): T[] => {
  const relays = chooseRelays([self, ...peers]);
  if (relays.includes(self)) return [];
  const first = preferredNode(
    self.name,
    relays.map(({ name }) => name),
  );
  const rank = (relay: T): number =>
    Number(relay.availabilityZone === self.availabilityZone) * 2 + Number(relay.name === first);
  return relays.sort((left, right) => rank(right) - rank(left));
};
