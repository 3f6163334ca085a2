import type { Random } from '../../shared/random.ts';
import type { Peer } from '../membership/membershipView.ts';

/**
 * Chooses the witness for new keys: a live peer in another availability zone, so that one zone's failure does not take
 * home and witness together; else any live peer; undefined without one.
 */
export const chooseWitness = (
  peers: readonly Peer[],
  availabilityZone: string,
  random: Random,
): Peer | undefined => {
  const live = peers.filter(({ suspected, leaving }) => !suspected && !leaving);
  const elsewhere = live.filter(({ identity }) => identity.availabilityZone !== availabilityZone);
  const candidates = elsewhere.length > 0 ? elsewhere : live;
  return candidates[Math.floor(random() * candidates.length)];
};
