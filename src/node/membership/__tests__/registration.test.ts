import { test } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import { InMemoryPlatform } from '../../../../playground/inMemoryPlatform.ts';
import { NodeIdentitySchema } from '../../../gen/hyssoppulley/v1/peer_pb.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { Registration } from '../registration.ts';

const register = async (platform: InMemoryPlatform, clock: VirtualClock, incarnation: string) => {
  const identity = create(NodeIdentitySchema, { name: 'node', incarnation });
  const registration = new Registration(platform, clock, identity);
  const result = await registration.register(true);
  return { result, registration, identity };
};

// Guards against unnecessary platform calls when a large deployment starts.
test('a new node registers with a single platform call', async () => {
  const platform = new InMemoryPlatform();
  const { result, registration } = await register(platform, new VirtualClock(), 'first');
  expect(result).toEqual('registered');
  expect(platform.callCount).toEqual(1);
  expect(registration.hasPredecessor).toEqual(false);
});

// Guards against a restarted node that is taken for its predecessor, or treated as older than it.
test('a restarted node registers with a higher generation than its predecessor', async () => {
  const platform = new InMemoryPlatform();
  const clock = new VirtualClock();
  const first = await register(platform, clock, 'first');
  const second = await register(platform, clock, 'second');
  expect(second.result).toEqual('registered');
  expect(second.registration.hasPredecessor).toEqual(true);
  expect(second.identity.generation > first.identity.generation).toEqual(true);
});
