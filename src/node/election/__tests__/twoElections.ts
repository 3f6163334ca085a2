import { create } from '@bufbuild/protobuf';
import { InMemoryPlatform } from '../../../../playground/inMemoryPlatform.ts';
import { NodeIdentitySchema } from '../../../gen/hyssoppulley/v1/peer_pb.ts';
import { seededRandom } from '../../../shared/random.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { DispatcherElection, dispatcherLease } from '../../batches/dispatcherElection.ts';
import type { Peer } from '../../membership/membershipView.ts';
import { silentLogger } from '../../observability/logger.ts';
import type { WriteOptions, WriteResult } from '../../platform/platformClient.ts';

/** A platform that may leave writes unanswered and carry them out later. */
export class LateWritesPlatform extends InMemoryPlatform {
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
export const startElections = <P extends InMemoryPlatform>(platform: P) => {
  const clock = new VirtualClock();
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
  const electionOf = (name: string) => elections.get(name);
  return { clock, seen, holders, events, electionOf, elections: [...elections.values()] };
};
