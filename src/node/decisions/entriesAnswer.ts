import type { Random } from '../../shared/random.ts';

/** A node that callers may be sent to. */
export interface EntryCandidate {
  /** IP number and caller port. */
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

/** Enough for a caller to survive the loss of a zone; more would only make the answer larger. */
export const MAX_ENTRIES = 8;

const shuffle = <T>(items: readonly T[], random: Random): T[] =>
  items
    .map((item) => ({ item, order: random() }))
    .sort((left, right) => left.order - right.order)
    .map(({ item }) => item);

/** Takes one candidate of each zone in turn, so that a prefix of the list covers as many zones as possible. */
const spreadOverZones = (candidates: readonly EntryCandidate[]): EntryCandidate[] => {
  const byZone = new Map<string, EntryCandidate[]>();
  for (const candidate of candidates) {
    const zone = byZone.get(candidate.availabilityZone);
    if (zone) zone.push(candidate);
    else byZone.set(candidate.availabilityZone, [candidate]);
  }
  const zones = [...byZone.values()];
  const longest = Math.max(0, ...zones.map((zone) => zone.length));
  return Array.from({ length: longest }, (_, index) =>
    zones.flatMap((zone) => zone.slice(index, index + 1)),
  ).flat();
};

/**
 * The entries that a caller is told: none that is leaving, suspected or drained. The answering node comes first when it
 * may be named, then another of its zone, then the other zones in turn.
 *
 * @param self - undefined when the node takes no new work
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
