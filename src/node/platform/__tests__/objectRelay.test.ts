import { test } from 'node:test';
import { expect } from 'earl';
import { InMemoryPlatform } from '../../../../playground/inMemoryPlatform.ts';
import { seededRandom } from '../../../shared/random.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { silentLogger } from '../../observability/logger.ts';
import { ObjectFollower } from '../objectFollower.ts';
import { ObjectRelay, MAX_RELAY_LAG_MS } from '../objectRelay.ts';

const prefix = 'config/';

const createRelay = async (platform: InMemoryPlatform, clock: VirtualClock) => {
  const announced: number[] = [];
  const relay: ObjectRelay = new ObjectRelay({
    ...{ clock, prefix, logger: silentLogger },
    announce: (_prefix, version) => announced.push(version),
    // eslint-disable-next-line @typescript-eslint/no-use-before-define
    refresh: () => follower.refresh(),
    // eslint-disable-next-line @typescript-eslint/no-use-before-define
    reachedVersion: () => follower.version,
    // eslint-disable-next-line @typescript-eslint/no-use-before-define
    isCurrent: () => follower.connected,
  });
  const follower = new ObjectFollower({
    ...{ platform, clock, prefix, random: seededRandom(1), logger: silentLogger },
    waitMs: () => 25_000,
    onEvent: (event) => relay.addChange(event),
    onApplied: (version) => relay.publishChanges(version),
  });
  await follower.start();
  return { relay, follower, announced };
};

// Guards against nodes that follow a relay whose own connection is dead: they would miss a change of the tables
// until the relay's long poll ends.
test('a relay whose connection is dead lists again when another relay announces a change', async () => {
  const platform = new InMemoryPlatform();
  const clock = new VirtualClock();
  await platform.write('config/main', 1);
  const { relay, follower } = await createRelay(platform, clock);
  platform.withholdChanges = true;
  await platform.write('config/main', 2);
  relay.handleAnnouncement(2);
  await clock.advanceAsync(MAX_RELAY_LAG_MS + 10);
  expect(follower.objects.get('config/main')?.value).toEqual(2);
  expect(relay.isCurrent).toEqual(true);
  follower[Symbol.dispose]();
});

// Guards against a relay that serves other nodes although it knows that its copy is outdated and cannot list again.
test('a relay that is behind another one is not current until it has caught up', async () => {
  const platform = new InMemoryPlatform();
  const clock = new VirtualClock();
  await platform.write('config/main', 1);
  const { relay, follower } = await createRelay(platform, clock);
  platform.withholdChanges = true;
  await platform.write('config/main', 2);
  platform.outage = true;
  relay.handleAnnouncement(2);
  await clock.advanceAsync(MAX_RELAY_LAG_MS + 10);
  expect(relay.isCurrent).toEqual(false);
  platform.outage = false;
  await clock.advanceAsync(2000);
  expect(relay.isCurrent).toEqual(true);
  follower[Symbol.dispose]();
});

// Guards against relays that announce the same change to each other indefinitely, and against one that announces none.
test('a relay announces each change once', async () => {
  const platform = new InMemoryPlatform();
  const clock = new VirtualClock();
  const { relay, follower, announced } = await createRelay(platform, clock);
  await platform.write('config/main', 1);
  await clock.advanceAsync(10);
  relay.handleAnnouncement(1);
  await clock.advanceAsync(MAX_RELAY_LAG_MS + 10);
  expect(announced).toEqual([1]);
  follower[Symbol.dispose]();
});

// Guards against a node whose memory fills with former versions of large tables while several keys are revoked.
test('of objects that replace each other a relay keeps the latest version of each', () => {
  const relay = new ObjectRelay({
    ...{ clock: new VirtualClock(), prefix, logger: silentLogger, latestOnly: true },
    ...{ announce() {}, refresh() {}, reachedVersion: () => 0, isCurrent: () => true },
  });
  relay.publishChanges(1);
  for (let version = 2; version < 50; version += 1) {
    for (const name of ['main', 'other']) {
      const object = { key: `${prefix}${name}`, version, operationId: '', value: version };
      relay.addChange({ type: 'written', object });
    }
    relay.publishChanges(version);
  }
  const valuesSince = (version: number) =>
    relay.changesSince(version)?.map(({ object }) => object.value);
  expect(valuesSince(1)).toEqual([49, 49]);
  expect(valuesSince(48)).toEqual([49, 49]);
  expect(valuesSince(49)).toEqual([]);
  expect(valuesSince(0)).toEqual(undefined);
});
