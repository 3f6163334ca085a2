import { preferredNode } from './rendezvous.ts';

/**
 * Number of nodes that watch the platform for all others: one still serves until a failure of the other is detected.
 */
export const RELAY_COUNT = 2;

/** Properties of a node that determine whether it becomes a relay. */
export interface RelayCandidate {
  readonly name: string;
  readonly availabilityZone: string;
  /** Processor time in thousandths of a core. */
  readonly capacityMillicores: number;
  /** Whether the node responds to its peers and is not leaving. */
  readonly reachable: boolean;
  /** Whether the node gets no response from the platform. */
  readonly platformLost: boolean;
}

/**
 * Nodes that can be relays. While none of them reaches the platform, that is ignored, so that only a few nodes retry.
 */
const eligibleNodes = <T extends RelayCandidate>(candidates: readonly T[]): T[] => {
  const reachable = candidates.filter((candidate) => candidate.reachable);
  const eligible = reachable.filter(({ platformLost }) => !platformLost);
  return eligible.length > 0 ? eligible : reachable;
};

/**
 * Chooses the nodes that watch the platform. All nodes that see the same candidates make the same choice. Relays serve
 * all other nodes, so candidates with the most processor time come first.
 */
export const chooseRelays = <T extends RelayCandidate>(candidates: readonly T[]): T[] => {
  const rest = eligibleNodes(candidates);
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

/** Returns the other relays if `self` is a relay; undefined otherwise. */
export const otherRelays = <T extends RelayCandidate>(
  self: T,
  peers: readonly T[],
): T[] | undefined => {
  const relays = chooseRelays([self, ...peers]);
  return relays.includes(self) ? relays.filter((relay) => relay !== self) : undefined;
};

/**
 * Returns the relays in the order in which `self` calls them: those of its availability zone first, then by rendezvous
 * hashing on the node's name, which spreads the nodes over the relays. Empty if the node is a relay itself.
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
