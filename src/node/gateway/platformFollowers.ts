import type { Client, ServiceImpl } from '@connectrpc/connect';
import type { NodeIdentity } from '../../gen/hyssoppulley/v1/peer_pb.ts';
import { type RelayService, RelayStatus } from '../../gen/hyssoppulley/v1/relay_pb.ts';
import { type Clock, Stopwatch } from '../../shared/clock.ts';
import type { Random } from '../../shared/random.ts';
import { messageOf } from '../../shared/errors.ts';
import { otherRelays, relaysFor } from '../decisions/relayNodes.ts';
import type { Peer } from '../membership/membershipView.ts';
import type { PeerAddress } from '../membership/peerClients.ts';
import type { Logger } from '../observability/logger.ts';
import { ObjectFollower, type ObjectFollowerOptions } from '../platform/objectFollower.ts';
import {
  createRelayHandlers,
  ObjectRelay,
  type ObjectRelayOptions,
} from '../platform/objectRelay.ts';
import type { PlatformObjects } from '../platform/platformClient.ts';
import { decodeSnapshot, RelayedObjects } from '../platform/relayedObjects.ts';

/** Long-poll wait of a relay at the platform, in ms; a dead connection is noticed after this wait plus a margin. */
const RELAY_LONG_POLL_MS = 2000;

/** Long-poll wait of other nodes at a relay, in ms. */
const RELAYED_LONG_POLL_MS = 2000;

/** The membership state from which relays are selected. */
export interface RelaySelectionView {
  readonly self: NodeIdentity;
  readonly leaving: boolean;
  peers(): readonly Peer[];
}

export interface PlatformFollowersOptions {
  readonly platform: PlatformObjects;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly view: () => RelaySelectionView;
  readonly platformLost: () => boolean;
  readonly client: (address: PeerAddress) => Client<typeof RelayService>;
}

/** What is to be followed. */
export interface FollowOptions extends Pick<
  ObjectFollowerOptions,
  'prefix' | 'onEvent' | 'onReconnected'
> {
  /** Longest wait of a call for changes, in ms, where the age of the copy matters. @default no limit */
  readonly maxWaitMs?: number;
  readonly latestOnly?: ObjectRelayOptions['latestOnly'];
}

const toRelayCandidate = (identity: NodeIdentity, reachable: boolean, platformLost: boolean) => ({
  name: identity.name,
  availabilityZone: identity.availabilityZone,
  incarnation: identity.incarnation,
  host: identity.host,
  peerPort: identity.peerPort,
  capacityMillicores: identity.capacityMillicores,
  reachable,
  platformLost,
});

/** Follows the kinds of platform objects that every node needs, through a few relay nodes that watch the platform. */
export class PlatformFollowers {
  readonly #options: PlatformFollowersOptions;

  readonly #source: RelayedObjects;

  /** Followed kinds by key prefix. */
  readonly #followed = new Map<string, { follower: ObjectFollower; relay: ObjectRelay }>();

  /** Names of the relays at the last check; empty while this node is one. */
  #relayNames: readonly string[] | undefined;

  constructor(options: PlatformFollowersOptions) {
    this.#options = options;
    const { platform, clock, logger, client } = options;
    this.#source = new RelayedObjects({
      ...{ platform, clock, logger, client },
      relays: () => this.#relays(),
    });
  }

  /**
   * Reads the objects again when this node has become a relay, or all relays are new. The platform is lost to the former
   * ones, so a call that waits at them gets no change until its wait is over.
   */
  checkRelays(): void {
    const former = this.#relayNames;
    const names = this.#relays().map(({ name }) => name);
    this.#relayNames = names;
    if (former === undefined || former.length === 0) return;
    if (names.some((name) => former.includes(name))) return;
    this.#options.logger.info('relays-replaced', {
      relays: names.join(','),
      former: former.join(','),
    });
    for (const { follower } of this.#followed.values()) follower.refresh();
  }

  /** Creates a follower of one kind, which this node can also relay. The caller starts and disposes of the follower. */
  follow({
    prefix,
    onEvent,
    onReconnected,
    maxWaitMs = Infinity,
    latestOnly,
  }: FollowOptions): ObjectFollower {
    const { clock, random, logger } = this.#options;
    const relay: ObjectRelay = new ObjectRelay({
      ...{ clock, logger, prefix, latestOnly },
      announce: (...change) => this.#notifyOtherRelays(...change),
      // eslint-disable-next-line @typescript-eslint/no-use-before-define
      refresh: () => follower.refresh(),
      // eslint-disable-next-line @typescript-eslint/no-use-before-define
      reachedVersion: () => follower.version,
      // eslint-disable-next-line @typescript-eslint/no-use-before-define
      isCurrent: () => this.#source.lastResponseWasDirect(prefix) && follower.connected,
    });
    const follower = new ObjectFollower({
      ...{ clock, random, logger, prefix, onReconnected },
      platform: this.#source,
      waitMs: () =>
        Math.min(maxWaitMs, this.#source.isRelay ? RELAY_LONG_POLL_MS : RELAYED_LONG_POLL_MS),
      onEvent: (event) => {
        relay.addChange(event);
        onEvent(event);
      },
      onApplied: (version) => relay.publishChanges(version),
    });
    this.#followed.set(prefix, { follower, relay });
    return follower;
  }

  /** RPC handlers through which other nodes use this node as a relay. */
  handlers(): ServiceImpl<typeof RelayService> {
    const { logger, clock } = this.#options;
    return createRelayHandlers((prefix) => this.#followed.get(prefix), logger, clock);
  }

  /**
   * Takes over a peer's copy of the followed objects, whether it is a relay or not. For a node that neither the platform
   * nor a relay gives a change that the peer has.
   *
   * @param minVersion - version that the copy must have reached
   * @returns whether the copy is later than this node's
   */
  async adoptFrom(peer: PeerAddress, prefix: string, minVersion: number): Promise<boolean> {
    const { client, clock } = this.#options;
    const sinceSent = new Stopwatch(clock);
    const request = { prefix, minVersion: BigInt(minVersion), anyCopy: true };
    const response = await client(peer).snapshot(request);
    if (response.status !== RelayStatus.OK) return false;
    const follower = this.#followed.get(prefix)?.follower;
    return follower?.adopt(decodeSnapshot(response), sinceSent) ?? false;
  }

  /** Notifies the other relays of a change; does nothing unless this node is a relay itself. */
  #notifyOtherRelays(prefix: string, version: number): void {
    const { client, logger } = this.#options;
    const [self, peers] = this.#relayCandidates();
    for (const relay of otherRelays(self, peers) ?? []) {
      client(relay)
        .advanced({ prefix, version: BigInt(version) })
        .catch((error: unknown) =>
          logger.debug('relay-notification-failed', {
            relay: relay.name,
            message: messageOf(error),
          }),
        );
    }
  }

  #relays() {
    return relaysFor(...this.#relayCandidates());
  }

  #relayCandidates() {
    const { view, platformLost } = this.#options;
    const { self, leaving } = view();
    const peers = view()
      .peers()
      .map((peer) =>
        toRelayCandidate(peer.identity, !peer.suspected && !peer.leaving, peer.platformLost),
      );
    return [toRelayCandidate(self, !leaving, platformLost()), peers] as const;
  }
}
