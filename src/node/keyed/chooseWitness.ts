import type { Random } from '../../shared/random.ts';
import type { Peer } from '../membership/membershipView.ts';

/**
 * Chooses the witness for new keys: a live peer in another availability zone, so that the failure of one zone does not
 * affect both home and witness; otherwise any live peer; undefined if there is none.
 */
export const chooseWitness = (
  peers: readonly Peer[],
  availabilityZone: string,
  random: Random,
): Peer | undefined => {
  const live = peers.filter(({ suspected, leaving }) => !suspected && !leaving);
  const inOtherZones = live.filter(
    ({ identity }) => identity.availabilityZone !== availabilityZone,
  );
  const candidates = inOtherZones.length > 0 ? inOtherZones : live;
  return candidates[Math.floor(random() * candidates.length)];
};
