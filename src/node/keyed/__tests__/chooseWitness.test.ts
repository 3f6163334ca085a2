import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import { NodeIdentitySchema } from '../../../gen/hyssoppulley/v1/peer_pb.ts';
import { seededRandom } from '../../../shared/random.ts';
import { chooseWitness } from '../chooseWitness.ts';

const peer = (name: string, availabilityZone: string, state: 'live' | 'suspected' | 'leaving') => ({
  identity: create(NodeIdentitySchema, { name, availabilityZone }),
  suspected: state === 'suspected',
  leaving: state === 'leaving',
  acceptedRevision: 1,
  leases: [],
  platformLost: false,
  workersVersion: 0,
});

// Guards against a home and a witness that fail with the same zone, and against witnesses that are not available.
test('the witness is a live peer, in another availability zone if possible', () => {
  const random = seededRandom(1);
  const same = peer('same', 'a', 'live');
  const others = [peer('b', 'b', 'live'), peer('c', 'c', 'live')];
  const unavailable = [peer('d', 'b', 'suspected'), peer('e', 'c', 'leaving')];
  const chosen = new Set(
    Array.from(
      { length: 100 },
      () => chooseWitness([same, ...others, ...unavailable], 'a', random)?.identity.name,
    ),
  );
  expect(chosen).toEqual(new Set(['b', 'c']));
  expect(chooseWitness([same, ...unavailable], 'a', random)).toEqual(same);
  expect(chooseWitness(unavailable, 'a', random)).toEqual(undefined);
});
