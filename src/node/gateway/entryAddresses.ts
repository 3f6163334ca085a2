import type { NodeIdentity } from '../../gen/hyssoppulley/v1/peer_pb.ts';
import { joinAddress } from '../dataPath/workerAddress.ts';
import { preferredEntries } from '../decisions/preferredEntries.ts';
import type { Peer } from '../membership/membershipView.ts';

/** Maximum number of addresses in one response of the directory. */
export const MAX_ENTRY_ADDRESSES = 64;

/** The membership state from which the directory selects nodes. */
export interface DirectoryView {
  readonly self: NodeIdentity;
  readonly leaving: boolean;
  peers(): readonly Peer[];
}

const addressOf = ({ host, callerPort }: NodeIdentity): string => joinAddress(host, callerPort);

/**
 * Addresses at which callers reach nodes that accept requests: those that are not suspected, not leaving and not cut
 * off from the platform; if there are none, all that are not leaving. Of unequal nodes, the large ones are listed. Nodes
 * in the caller's availability zone come first.
 */
export const entryAddresses = (
  view: DirectoryView,
  availabilityZone: string,
  { platformLost }: { readonly platformLost: boolean },
): string[] => {
  const { self, leaving } = view;
  const nodes = [{ identity: self, leaving, suspected: false, platformLost }, ...view.peers()];
  const notLeaving = nodes.filter((node) => !node.leaving);
  const healthy = notLeaving.filter((node) => !node.suspected && !node.platformLost);
  const zoneRank = (identity: NodeIdentity) =>
    Number(identity.availabilityZone === availabilityZone);
  const candidates = (healthy.length > 0 ? healthy : notLeaving).map(({ identity }) => identity);
  return [...preferredEntries(candidates)]
    .sort((left, right) => zoneRank(right) - zoneRank(left))
    .slice(0, MAX_ENTRY_ADDRESSES)
    .map(addressOf);
};

/** Whether callers are sent to this node while it is healthy. */
export const isPreferredEntry = (view: Pick<DirectoryView, 'self' | 'peers'>): boolean => {
  const { self } = view;
  const live = view
    .peers()
    .filter((peer) => !peer.leaving && !peer.suspected)
    .map(({ identity }) => identity);
  return preferredEntries([self, ...live]).includes(self);
};
