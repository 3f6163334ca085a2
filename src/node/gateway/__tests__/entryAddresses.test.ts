import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import { NodeIdentitySchema } from '../../../gen/hyssoppulley/v1/peer_pb.ts';
import type { Peer } from '../../membership/membershipView.ts';
import { entryAddresses, isPreferredEntry } from '../entryAddresses.ts';

const identity = (name: string, capacityMillicores: number, availabilityZone: string) =>
  create(NodeIdentitySchema, {
    ...{ name, capacityMillicores, availabilityZone, host: name, callerPort: 80 },
  });

const peer = (name: string, capacityMillicores: number, zone: string, state = {}): Peer => ({
  identity: identity(name, capacityMillicores, zone),
  ...{ suspected: false, leaving: false, lastHeardMs: 0, acceptedRevision: 1, leases: [] },
  ...{ platformLost: false, workersVersion: 0, ...state },
});

const LARGE = Array.from({ length: 8 }, (_, index) =>
  peer(`large-${index}`, 1350, index < 4 ? 'a' : 'b'),
);
const SMALL = Array.from({ length: 40 }, (_, index) => peer(`small-${index}`, 324, 'a'));

const view = (peers: readonly Peer[]) => ({
  ...{ self: identity('self', 324, 'a'), leaving: false, peers: () => peers },
});

// Guards against callers that are sent to small nodes, or first to another availability zone.
test('the directory lists large nodes, those of the availability zone first', () => {
  const listed = entryAddresses(view([...SMALL, ...LARGE]), 'b', { platformLost: false });
  const names = [4, 5, 6, 7, 0, 1, 2, 3].map((index) => `large-${index}:80`);
  expect(listed).toEqual(names);
  expect(isPreferredEntry(view([...SMALL, ...LARGE]))).toEqual(false);
  expect(isPreferredEntry(view(SMALL))).toEqual(true);
});

// Guards against a directory without addresses when the large nodes fail together.
test('without large nodes, or with too few, all healthy nodes are listed', () => {
  const lost = LARGE.map(({ identity: { name } }) => peer(name, 1350, 'a', { suspected: true }));
  const listed = entryAddresses(view([...SMALL, ...lost]), 'a', { platformLost: false });
  expect(listed.length).toEqual(SMALL.length + 1);
  const few = entryAddresses(view([...SMALL, ...LARGE.slice(0, 3)]), 'a', { platformLost: false });
  expect(few.length).toEqual(SMALL.length + 1 + 3);
});
