import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import { InMemoryPlatform } from '../../../../playground/inMemoryPlatform.ts';
import { DispatcherRecordSchema } from '../../../gen/hyssoppulley/v1/batch_pb.ts';
import { NodeIdentitySchema } from '../../../gen/hyssoppulley/v1/peer_pb.ts';
import { seededRandom } from '../../../shared/random.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { dispatcherKey, encodeDispatcher } from '../../batches/batchObjects.ts';
import { DispatcherElection } from '../../batches/dispatcherElection.ts';
import type { Peer } from '../../membership/membershipView.ts';
import { silentLogger } from '../../observability/logger.ts';

const PEER_DISCOVERY_MS = 600;
const CLAIM_STAGGER_MS = 300;
const CHECK_INTERVAL_MS = 200;

const identityOf = (name: string) =>
  create(NodeIdentitySchema, { name, incarnation: `${name}-2`, capacityMillicores: 675 });

/** Starts one node whose peer is preferred to it. The record names a holder that is gone. */
const startSecondCandidate = async () => {
  const clock = new VirtualClock();
  const platform = new InMemoryPlatform();
  await platform.write(
    dispatcherKey('p'),
    encodeDispatcher(
      create(DispatcherRecordSchema, { node: 'gone', incarnation: 'gone-1', term: 4 }),
    ),
  );
  const events: string[] = [];
  const preferred = create(NodeIdentitySchema, {
    ...{ name: 'b', incarnation: 'b-2', capacityMillicores: 1000 },
  });
  const election = new DispatcherElection({
    ...{ pool: 'p', platform, clock, random: seededRandom(1), logger: silentLogger },
    view: {
      self: identityOf('a'),
      leaving: false,
      peers: () => [{ identity: preferred, leases: [], suspected: false } as unknown as Peer],
    },
    health: { lost: false },
    onElected: (term) => events.push(`elected ${term}`),
    onLost: () => {},
    watchHolder: () => ({ [Symbol.dispose]() {} }),
  });
  return { clock, events, election };
};

// Guards against a pool that stays without a dispatcher for longer after a restart of all nodes: each candidate waits its
// delay, reads the record, and waits its delay again (czujka-ops, 1.6 s from the start of the nodes to the claim).
test('a restarted node that finds the holder gone waits its claim delay once', async () => {
  const { clock, events, election } = await startSecondCandidate();
  await clock.advanceAsync(PEER_DISCOVERY_MS + CLAIM_STAGGER_MS + 2 * CHECK_INTERVAL_MS);
  expect(events).toEqual(['elected 5']);
  election[Symbol.dispose]();
});
