import type { Random } from '../../shared/random.ts';

/** A node that may be returned to callers as an entry. */
export interface EntryCandidate {
  /** IP address and caller port. */
  readonly address: string;
  readonly availabilityZone: string;
  readonly leaving: boolean;
  readonly suspected: boolean;
  readonly drained: boolean;
}

export interface Entry {
  readonly address: string;
  readonly availabilityZone: string;
}

/** Maximum number of entries: enough to tolerate the loss of a zone; more would only enlarge the response. */
export const MAX_ENTRIES = 8;

const shuffle = <T>(items: readonly T[], random: Random): T[] =>
  items
    .map((item) => ({ item, order: random() }))
    .sort((left, right) => left.order - right.order)
    .map(({ item }) => item);

/** Orders the candidates round-robin by zone, so that every prefix of the list covers as many zones as possible. */
const spreadOverZones = (candidates: readonly EntryCandidate[]): EntryCandidate[] => {
  const byZone = new Map<string, EntryCandidate[]>();
  for (const candidate of candidates) {
    const zone = byZone.get(candidate.availabilityZone);
    if (zone) zone.push(candidate);
    else byZone.set(candidate.availabilityZone, [candidate]);
  }
  const zones = [...byZone.values()];
  const largestZoneSize = Math.max(0, ...zones.map((zone) => zone.length));
  return Array.from({ length: largestZoneSize }, (_, index) =>
    zones.flatMap((zone) => zone.slice(index, index + 1)),
  ).flat();
};

/**
 * Chooses the entries to return to a caller, without nodes that are leaving, suspected or drained. The responding node
 * comes first if it is usable, then another node of its zone, then the remaining nodes round-robin by zone.
 *
 * @param self - the responding node; undefined if it takes no new work
 * @param availabilityZone - zone of the responding node
 */
export const chooseEntries = (
  self: EntryCandidate | undefined,
  peers: readonly EntryCandidate[],
  availabilityZone: string,
  random: Random,
): Entry[] => {
  const usable = shuffle(
    peers.filter((peer) => !peer.leaving && !peer.suspected && !peer.drained),
    random,
  );
  const nearest = usable.find((peer) => peer.availabilityZone === availabilityZone);
  const first = [self && !self.leaving && !self.drained ? self : undefined, nearest];
  const rest = spreadOverZones(usable.filter((peer) => peer !== nearest));
  return [...first.filter((entry) => entry !== undefined), ...rest]
    .slice(0, MAX_ENTRIES)
    .map(({ address, availabilityZone: zone }) => ({ address, availabilityZone: zone }));
};
