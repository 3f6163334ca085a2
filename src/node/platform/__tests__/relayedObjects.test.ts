import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import type { Client } from '@connectrpc/connect';
import { expect } from 'earl';
import { InMemoryPlatform } from '../../../../playground/inMemoryPlatform.ts';
import {
  RelayChangesResponseSchema,
  type RelayService,
  RelaySnapshotResponseSchema,
  RelayStatus,
} from '../../../gen/hyssoppulley/v1/relay_pb.ts';
import { sleep } from '../../../shared/clock.ts';
import { seededRandom } from '../../../shared/random.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { silentLogger } from '../../observability/logger.ts';
import { ObjectFollower } from '../objectFollower.ts';
import { RelayedObjects } from '../relayedObjects.ts';

const prefix = 'config/';
const RELAYS = ['r1', 'r2'].map((name) => ({ incarnation: name, host: name, peerPort: 1 }));

/** Starts a follower behind two relays that either respond or report that they have lost the platform. */
const startFollower = async (clock: VirtualClock, platform: InMemoryPlatform) => {
  const state = { lost: false };
  const status = () => (state.lost ? RelayStatus.UNAVAILABLE : RelayStatus.OK);
  const client = {
    snapshot: () => Promise.resolve(create(RelaySnapshotResponseSchema, { status: status() })),
    changes: async ({ waitMs }: { waitMs: number }) => {
      if (!state.lost) await sleep(clock, waitMs);
      return create(RelayChangesResponseSchema, { status: status() });
    },
  } as unknown as Client<typeof RelayService>;
  const source = new RelayedObjects({
    ...{ platform, clock, logger: silentLogger },
    relays: () => RELAYS,
    client: () => client,
  });
  const follower = new ObjectFollower({
    ...{ platform: source, clock, prefix, random: seededRandom(1), logger: silentLogger },
    waitMs: () => 1000,
    onEvent: () => {},
  });
  await follower.start();
  return { follower, state };
};

const OUTAGE_MS = 10_000;

// Guards against every node calling the platform constantly during an outage: every call has a cost, even a refused
// one.
test('a node whose relays have lost the platform calls it at most once every two seconds', async () => {
  const clock = new VirtualClock();
  const platform = new InMemoryPlatform();
  const { follower, state } = await startFollower(clock, platform);
  expect(platform.callCount).toEqual(0);
  state.lost = true;
  platform.outage = true;
  await clock.advanceAsync(OUTAGE_MS);
  expect(platform.callCount).toBeLessThanOrEqual(OUTAGE_MS / 2000);
  expect(follower.connected).toEqual(false);
  state.lost = false;
  platform.outage = false;
  await clock.advanceAsync(1500);
  expect(follower.connected).toEqual(true);
  follower[Symbol.dispose]();
});

// Guards against a node that misses changes because its relays are cut off from the platform, although it can reach the
// platform itself.
test('a node whose relays have lost the platform follows it directly', async () => {
  const clock = new VirtualClock();
  const platform = new InMemoryPlatform();
  const { follower, state } = await startFollower(clock, platform);
  state.lost = true;
  await platform.write('config/main', 1);
  await clock.advanceAsync(2000);
  expect(follower.objects.has('config/main')).toEqual(true);
  follower[Symbol.dispose]();
});
