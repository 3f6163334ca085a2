import { test } from 'node:test';
import { expect } from 'earl';
import { InMemoryPlatform } from '../../../../playground/inMemoryPlatform.ts';
import { seededRandom } from '../../../shared/random.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { silentLogger } from '../../observability/logger.ts';
import { ObjectFollower } from '../objectFollower.ts';

const startFollower = async (platform: InMemoryPlatform, clock: VirtualClock) => {
  const seen: string[] = [];
  const regained: number[] = [];
  const follower = new ObjectFollower({
    ...{ platform, clock, random: seededRandom(1), logger: silentLogger, prefix: 'config/' },
    waitMs: () => 25_000,
    onEvent: ({ type, object }) => seen.push(`${type} ${object.key} ${String(object.value)}`),
    onReconnected: (awayMs) => regained.push(awayMs),
  });
  await follower.start();
  return { follower, seen, regained };
};

// Guards against missing a change for the length of a long poll: the platform aborts the long polls and discards its
// history a moment later, so a long poll that continues in between waits for a discarded change (seen on tvf-quotes,
// day scale-2).
test('a follower whose long poll is aborted lists again instead of continuing', async () => {
  const platform = new InMemoryPlatform();
  const clock = new VirtualClock();
  await platform.write('config/main', 1);
  const { follower, seen } = await startFollower(platform, clock);
  platform.withholdChanges = true;
  await platform.write('config/main', 2);
  platform.outage = true;
  platform.wakePendingCalls();
  await clock.advanceAsync(1);
  platform.outage = false;
  await clock.advanceAsync(100);
  expect(seen).toEqual(['written config/main 1', 'written config/main 2']);
  follower[Symbol.dispose]();
});

// Guards against a follower that treats an outage as the removal of its objects.
test('objects are kept during an outage, and its length is reported at the end', async () => {
  const platform = new InMemoryPlatform();
  const clock = new VirtualClock();
  await platform.write('config/main', 1);
  const { follower, regained } = await startFollower(platform, clock);
  platform.outage = true;
  platform.wakePendingCalls();
  await clock.advanceAsync(4000);
  expect(follower.objects.size).toEqual(1);
  expect(follower.connected).toEqual(false);
  platform.outage = false;
  await clock.advanceAsync(1000);
  expect(follower.connected).toEqual(true);
  expect(regained.length).toEqual(1);
  expect((regained[0] ?? 0) >= 4000).toEqual(true);
  follower[Symbol.dispose]();
});

// Guards against a dead connection that hides changes indefinitely.
test('a long poll without a response beyond its wait is replaced by a list', async () => {
  const platform = new InMemoryPlatform();
  const clock = new VirtualClock();
  const { follower, seen } = await startFollower(platform, clock);
  platform.withholdChanges = true;
  await platform.write('config/main', 1);
  platform.withholdChanges = false;
  expect(seen).toEqual([]);
  await clock.advanceAsync(26_100);
  expect(seen).toEqual(['written config/main 1']);
  follower[Symbol.dispose]();
});

// Guards against a change that a peer has seen and that this node receives only at the end of its long poll.
test('a refresh lists the objects immediately', async () => {
  const platform = new InMemoryPlatform();
  const clock = new VirtualClock();
  await platform.write('config/main', 1);
  const { follower, seen } = await startFollower(platform, clock);
  platform.withholdChanges = true;
  await platform.write('config/main', 2);
  await platform.remove('config/main');
  follower.refresh();
  await clock.advanceAsync(10);
  expect(seen).toEqual(['written config/main 1', 'removed config/main 1']);
  expect(follower.objects.size).toEqual(0);
  follower[Symbol.dispose]();
});

// Guards against a dispatcher that treats existing batches as new: a refresh during the first list discards its
// response, so the next list is the first one to be applied (seen on czujka-ops, day scale-1, seed 585031733952).
test('a list that a refresh discards is not reported as applied', async () => {
  const platform = new InMemoryPlatform();
  const clock = new VirtualClock();
  await platform.write('config/main', 1);
  const seen: string[] = [];
  const follower = new ObjectFollower({
    ...{ platform, clock, random: seededRandom(1), logger: silentLogger, prefix: 'config/' },
    waitMs: () => 25_000,
    onEvent: ({ object }) => seen.push(object.key),
    onApplied: (version) => seen.push(`applied up to ${version}`),
  });
  const started = follower.start();
  follower.refresh();
  await started;
  await clock.advanceAsync(10);
  expect(seen).toEqual(['config/main', 'applied up to 1']);
  follower[Symbol.dispose]();
});
