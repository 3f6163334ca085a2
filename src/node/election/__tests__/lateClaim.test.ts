import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import { InMemoryPlatform } from '../../../../playground/inMemoryPlatform.ts';
import { NodeIdentitySchema } from '../../../gen/hyssoppulley/v1/peer_pb.ts';
import { seededRandom } from '../../../shared/random.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { DispatcherElection, dispatcherLease } from '../../batches/dispatcherElection.ts';
import type { Peer } from '../../membership/membershipView.ts';
import { silentLogger } from '../../observability/logger.ts';
import type { WriteOptions, WriteResult } from '../../platform/platformClient.ts';

/** A platform that may leave writes unanswered and carry them out later. */
class LateWritesPlatform extends InMemoryPlatform {
  withholdWrites = false;

  #withheld: (() => Promise<WriteResult>)[] = [];

  override write(key: string, value: unknown, options?: WriteOptions): Promise<WriteResult> {
    if (!this.withholdWrites) return super.write(key, value, options);
    this.#withheld.push(() => super.write(key, value, options));
    return new Promise<WriteResult>(() => {});
  }

  async carryOut(): Promise<void> {
    for (const write of this.#withheld.splice(0)) await write();
  }
}

/** Two nodes in one election; `seen` sets how the other one sees a node. */
const startElections = () => {
  const clock = new VirtualClock();
  const platform = new LateWritesPlatform();
  const seen = new Map(['a', 'b'].map((name) => [name, { suspected: false }]));
  const elections = new Map<string, DispatcherElection>();
  const events: string[] = [];
  const peerOf = (name: string) => {
    const term = elections.get(name)?.heldTerm;
    return {
      identity: create(NodeIdentitySchema, { name, incarnation: `${name}-1` }),
      leases: term === undefined ? [] : [dispatcherLease('p', term)],
      ...seen.get(name),
    } as unknown as Peer;
  };
  for (const name of ['a', 'b']) {
    const election: DispatcherElection = new DispatcherElection({
      ...{ pool: 'p', platform, clock, random: seededRandom(1), logger: silentLogger },
      view: {
        self: create(NodeIdentitySchema, { name, incarnation: `${name}-1` }),
        leaving: false,
        peers: () => [peerOf(name === 'a' ? 'b' : 'a')],
      },
      health: { lost: false },
      onElected: (term, former) => events.push(`${name} elected ${term} after ${former?.node}`),
      onLost: () => {},
      watchHolder: () => ({ [Symbol.dispose]() {} }),
    });
    elections.set(name, election);
  }
  const holders = () => [...elections].flatMap(([name, { heldTerm }]) => (heldTerm ? [name] : []));
  return { clock, platform, seen, holders, events, elections: [...elections.values()] };
};

// Guards against a pool without a dispatcher for a minute: the claim of a node that has given up is carried out late, so the
// record names a node that does not know of it, and the holder that finds the record gives the pool up.
test('a claim that is carried out after it was given up leaves no pool without a holder', async () => {
  const { clock, platform, seen, holders, elections } = startElections();
  await clock.advanceAsync(3000);
  const [holder = ''] = holders();
  seen.set(holder, { suspected: true });
  platform.withholdWrites = true;
  await clock.advanceAsync(1500);
  seen.set(holder, { suspected: false });
  await clock.advanceAsync(1500);
  platform.withholdWrites = false;
  expect(holders()).toEqual([holder]);
  await platform.carryOut();
  await clock.advanceAsync(6000);
  expect(holders().length).toEqual(1);
  for (const election of elections) election[Symbol.dispose]();
});

// Guards against orders of two holders in quick succession: a node whose own late claim is the record takes itself for its
// predecessor, and neither asks the holder before it to stop nor waits for its last orders.
test('a node that finds its own late claim names the holder before it as its predecessor', async () => {
  const { clock, platform, seen, holders, events, elections } = startElections();
  await clock.advanceAsync(3000);
  const [holder = ''] = holders();
  const other = holder === 'a' ? 'b' : 'a';
  seen.set(holder, { suspected: true });
  platform.withholdWrites = true;
  await clock.advanceAsync(1500);
  seen.set(holder, { suspected: false });
  await clock.advanceAsync(1500);
  platform.withholdWrites = false;
  await platform.carryOut();
  await clock.advanceAsync(6000);
  expect(events).toEqual([
    `${holder} elected 1 after undefined`,
    `${other} elected 3 after ${holder}`,
  ]);
  for (const election of elections) election[Symbol.dispose]();
});
