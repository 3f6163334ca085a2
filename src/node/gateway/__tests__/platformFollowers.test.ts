import { test } from 'node:test';
import type { Client } from '@connectrpc/connect';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import { NodeIdentitySchema } from '../../../gen/hyssoppulley/v1/peer_pb.ts';
import {
  type RelayService,
  RelaySnapshotResponseSchema,
  RelayStatus,
} from '../../../gen/hyssoppulley/v1/relay_pb.ts';
import { seededRandom } from '../../../shared/random.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import type { Peer } from '../../membership/membershipView.ts';
import { silentLogger } from '../../observability/logger.ts';
import type { PlatformObjects } from '../../platform/platformClient.ts';
import { PlatformFollowers } from '../platformFollowers.ts';

const identityOf = (name: string, capacityMillicores: number) =>
  create(NodeIdentitySchema, { name, incarnation: name, capacityMillicores, host: name });

const settle = async () => {
  for (let turn = 0; turn < 20; turn += 1) await Promise.resolve();
};

/** A small node that follows one kind through two large relays, at which its calls for changes wait. */
const startFollowing = async () => {
  const clock = new VirtualClock();
  const state = { lostByRelays: false, platformReads: 0 };
  const snapshot = () => {
    state.platformReads += 1;
    return Promise.resolve({ objects: [], version: 9 });
  };
  const waitForAbort = (signal: AbortSignal) =>
    new Promise<never>((_resolve, reject) => {
      signal.addEventListener('abort', () => reject(new Error('aborted')), { once: true });
    });
  const relay = {
    snapshot: () =>
      Promise.resolve(
        create(RelaySnapshotResponseSchema, { status: RelayStatus.OK, objects: [], version: 1n }),
      ),
    changes: (_request: unknown, { signal }: { signal: AbortSignal }) => waitForAbort(signal),
  } as unknown as Client<typeof RelayService>;
  const followers = new PlatformFollowers({
    platform: {
      snapshot,
      changesSince: (...call: [string, number, { signal: AbortSignal }]) =>
        waitForAbort(call[2].signal),
    } as unknown as PlatformObjects,
    ...{ clock, random: seededRandom(1), logger: silentLogger, client: () => relay },
    platformLost: () => false,
    view: () => ({
      ...{ self: identityOf('self', 100), leaving: false },
      peers: () =>
        ['relay-1', 'relay-2'].map(
          (name) =>
            ({
              ...{ identity: identityOf(name, 1000), suspected: false, leaving: false },
              platformLost: state.lostByRelays,
            }) as Peer,
        ),
    }),
  });
  const follower = followers.follow({ prefix: 'config/', onEvent: () => {} });
  await follower.start();
  followers.checkRelays();
  return { state, followers, follower };
};

test('a node that becomes a relay does not wait for the end of its call at a relay that lost the platform', async () => {
  const { state, followers, follower } = await startFollowing();
  expect([follower.version, state.platformReads]).toEqual([1, 0]);
  state.lostByRelays = true;
  followers.checkRelays();
  await settle();
  expect([follower.version, state.platformReads]).toEqual([9, 1]);
  follower[Symbol.dispose]();
});

test('a node reads nothing again while its relays stay', async () => {
  const { state, followers, follower } = await startFollowing();
  for (let check = 0; check < 5; check += 1) followers.checkRelays();
  await settle();
  expect([follower.version, state.platformReads]).toEqual([1, 0]);
  follower[Symbol.dispose]();
});
