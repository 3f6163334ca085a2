import type { NodeIdentity } from '../../gen/hyssoppulley/v1/peer_pb.ts';
import { type Clock, Stopwatch } from '../../shared/clock.ts';
import type { Random } from '../../shared/random.ts';
import type { MembershipView } from '../membership/membershipView.ts';
import type { PeerClients } from '../membership/peerClients.ts';
import type { Logger } from '../observability/logger.ts';
import type { PlatformClient } from '../platform/platformClient.ts';
import type { ResolvedTiming } from '../settings/resolveSettings.ts';
import type { Configuration } from './configuration.ts';
import { ConfigurationCoordinator } from './configurationCoordinator.ts';
import { ConfigurationFollower } from './configurationFollower.ts';
import { createConfigurationHandlers, createConfigurationPeers } from './configurationHandlers.ts';
import { createOperatorService, type OperatorServiceOptions } from './operatorService.ts';

export interface OperatorOptions extends Omit<
  OperatorServiceOptions,
  'coordinator' | 'configuration'
> {
  readonly platform: PlatformClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly self: NodeIdentity;
  readonly configuration: Configuration;
  readonly membership: MembershipView;
  readonly clients: PeerClients;
  readonly timing: ResolvedTiming;
}

/** Creates the components of a node that change and follow the configuration and serve operators. */
export const createOperator = (options: OperatorOptions) => {
  const { clock, configuration, membership, clients, timing } = options;
  configuration.setEveryPeerHeard(() =>
    membership.peers().every((peer) => peer.leaving || !peer.suspected),
  );
  const uptime = new Stopwatch(clock);
  // For a node that was never heard from, the time is bounded by the uptime: an earlier process of this node may have
  // heard from it.
  const lastHeardMs = (nodeName: string): number =>
    membership
      .peers()
      .filter(({ identity }) => identity.name === nodeName)
      .reduce(
        (heardMs, peer) => Math.min(heardMs, peer.lastHeardMs ?? heardMs),
        uptime.minElapsedMs(),
      );
  const coordinator = new ConfigurationCoordinator({
    ...options,
    peers: createConfigurationPeers(clients),
    hasEnded: ({ incarnation }) => membership.findIncarnation(incarnation)?.suspected === true,
    lastHeardMs,
  });
  return {
    coordinator,
    follower: new ConfigurationFollower({
      ...options,
      headPollIntervalMs: timing.headPollIntervalMs,
    }),
    peerHandlers: createConfigurationHandlers({
      configuration,
      lastHeardMs,
      mayServe: () => membership.mayServe(),
    }),
    operatorHandlers: createOperatorService({ ...options, coordinator }),
  };
};
