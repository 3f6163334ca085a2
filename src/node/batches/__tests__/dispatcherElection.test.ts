import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import { InMemoryPlatform } from '../../../../playground/inMemoryPlatform.ts';
import { NodeIdentitySchema } from '../../../gen/hyssoppulley/v1/peer_pb.ts';
import { seededRandom } from '../../../shared/random.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import type { Peer } from '../../membership/membershipView.ts';
import { silentLogger } from '../../observability/logger.ts';
import { DispatcherElection, dispatcherLease } from '../dispatcherElection.ts';

const identityOf = (name: string) =>
  create(NodeIdentitySchema, { name, incarnation: `${name}-1`, capacityMillicores: 675 });

/** Starts elections of several nodes on one platform. `seen` sets how the nodes see each other. */
const startElections = (names: readonly string[] = ['a', 'b']) => {
  const clock = new VirtualClock();
  const platform = new InMemoryPlatform();
  const health = { lost: false };
  const seen = new Map(
    names.map((name) => [name, { suspected: false, leaving: false, platformLost: false }]),
  );
  const events: string[] = [];
  const start = (name: string) => {
    const others = names.filter((other) => other !== name);
    const election: DispatcherElection = new DispatcherElection({
      ...{ pool: 'p', platform, clock, random: seededRandom(1), logger: silentLogger },
      view: {
        self: identityOf(name),
        leaving: false,
        peers: () =>
          others.map(
            (other) =>
              ({ identity: identityOf(other), leases: [], ...seen.get(other) }) as unknown as Peer,
          ),
      },
      health,
      onElected: (term) => events.push(`${name} elected ${term}`),
      onLost: () => events.push(`${name} lost`),
      watchHolder: () => ({ [Symbol.dispose]() {} }),
    });
    return election;
  };
  return { clock, platform, health, seen, events, elections: names.map(start) };
};

/** Names of the node that was elected first and of the other one. */
const namesOf = (events: readonly string[]) => {
  const holder = events[0]?.startsWith('a') ? 'a' : 'b';
  return { holder, other: holder === 'a' ? 'b' : 'a' };
};

// Guards against zero or two holders after the start.
test('exactly one of two nodes is elected after the start', async () => {
  const { clock, events, elections } = startElections();
  await clock.advanceAsync(3000);
  expect(events.length).toEqual(1);
  for (const election of elections) election[Symbol.dispose]();
});

// Guards against load on the platform from every node reading the record after each change of the dispatcher.
test('a node learns the dispatcher and term from heartbeats alone and ignores an earlier term', async () => {
  const clock = new VirtualClock();
  const platform = new InMemoryPlatform();
  let leases = [dispatcherLease('p', 3)];
  using election = new DispatcherElection({
    ...{ pool: 'p', platform, clock, random: seededRandom(1), logger: silentLogger },
    view: {
      self: identityOf('a'),
      leaving: false,
      peers: () => [{ identity: identityOf('b'), leases } as unknown as Peer],
    },
    health: { lost: false },
    onElected: () => {},
    onLost: () => {},
    watchHolder: () => ({ [Symbol.dispose]() {} }),
  });
  await clock.advanceAsync(3000);
  expect(election.holder?.node).toEqual('b');
  expect(election.holder?.term).toEqual(3);
  expect(platform.callCount).toEqual(0);
  leases = [dispatcherLease('p', 2)];
  await clock.advanceAsync(1000);
  expect(election.holder?.term).toEqual(3);
});

// Guards against a needless take-over at the end of a platform outage: a node notices the end before the holder's
// heartbeat announces it, and takes the holder for lost (seen on czujka-ops, day platform-faults).
test('a holder that loses the platform for 0.5 s keeps the pool', async () => {
  const { clock, seen, events, elections } = startElections();
  await clock.advanceAsync(3000);
  const { holder } = namesOf(events);
  const state = seen.get(holder);
  if (state) state.platformLost = true;
  await clock.advanceAsync(500);
  if (state) state.platformLost = false;
  await clock.advanceAsync(3000);
  expect(events.length).toEqual(1);
  for (const election of elections) election[Symbol.dispose]();
});

// Guards against a holder that keeps the pool although it cannot store results.
test('a holder that loses the platform for 2 s is replaced under the next term', async () => {
  const { clock, seen, events, elections } = startElections();
  await clock.advanceAsync(3000);
  const { holder, other } = namesOf(events);
  const state = seen.get(holder);
  if (state) state.platformLost = true;
  await clock.advanceAsync(2000);
  expect(events).toEqual([`${holder} elected 1`, `${other} elected 2`]);
  for (const election of elections) election[Symbol.dispose]();
});

// Guards against a series of take-overs at the end of an outage in which the holder died: the heartbeat that announces
// that the new holder has regained the platform arrives after its claim, so the next node claims the pool from it
// (seen on czujka-ops, day trouble-3, seed 615440289962: terms 2 to 9 within 0.3 s).
test('after an outage in which the holder died, the pool is claimed exactly once', async () => {
  const names = ['a', 'b', 'c', 'd'];
  const { clock, platform, health, seen, events, elections } = startElections(names);
  await clock.advanceAsync(3000);
  const holder = events[0]?.slice(0, 1) ?? '';
  elections[names.indexOf(holder)]?.[Symbol.dispose]();
  const gone = seen.get(holder);
  if (gone) gone.suspected = true;
  platform.outage = true;
  health.lost = true;
  for (const state of seen.values()) state.platformLost = true;
  await clock.advanceAsync(5000);
  platform.outage = false;
  health.lost = false;
  await clock.advanceAsync(500);
  for (const state of seen.values()) state.platformLost = false;
  await clock.advanceAsync(3000);
  expect(events.filter((event) => event.includes('elected')).length).toEqual(2);
  for (const election of elections) election[Symbol.dispose]();
});

// Guards against a re-elected node that resigns because a result log of its earlier term was taken over (seen on
// tvf-quotes, day partitions, seed 1046269725279: the progress handed over for 38 items was lost).
test('a resignation for an earlier term is ignored, one for the held term ends it', async () => {
  const { clock, events, elections } = startElections();
  await clock.advanceAsync(3000);
  const { holder } = namesOf(events);
  const election = elections[holder === 'a' ? 0 : 1];
  election?.resign('a result log was taken over by a later term', 0);
  expect(election?.heldTerm).toEqual(1);
  election?.resign('a result log was taken over by a later term', 1);
  expect(election?.heldTerm).toEqual(undefined);
  for (const each of elections) each[Symbol.dispose]();
});

// Guards against two dispatchers of a pool: one that its peers cannot reach, and its successor, with the platform in reach of
// both.
test('a holder that its peers do not see gives the pool up soon after its successor claims it', async () => {
  const { clock, seen, events, elections } = startElections();
  await clock.advanceAsync(3000);
  const { holder, other } = namesOf(events);
  const state = seen.get(holder);
  if (state) state.suspected = true;
  await clock.advanceAsync(5000);
  expect(events).toEqual([`${holder} elected 1`, `${other} elected 2`, `${holder} lost`]);
  for (const election of elections) election[Symbol.dispose]();
});
