import { test } from 'node:test';
import { expect } from 'earl';
import { chooseRelays, type RelayCandidate, relaysFor } from '../relayNodes.ts';

const node = (name: string, state: Partial<RelayCandidate> = {}): RelayCandidate => ({
  name,
  availabilityZone: 'z',
  capacityMillicores: 300,
  reachable: true,
  platformLost: false,
  ...state,
});
const names = (nodes: readonly RelayCandidate[]) => nodes.map(({ name }) => name);
const small = ['a', 'b', 'c', 'd'].map((name) => node(name));

// Guards against choosing the smallest VMs as relays, which have to serve every other node.
test('the nodes with the most processor time become relays', () => {
  const large = [node('e', { capacityMillicores: 1350 }), node('f', { capacityMillicores: 1350 })];
  expect(names(chooseRelays([...small, ...large])).sort()).toEqual(['e', 'f']);
  const oneLarge = chooseRelays([...small, large[0] as RelayCandidate]);
  expect(names(oneLarge)[0]).toEqual('e');
  expect(oneLarge.length).toEqual(2);
});

// Guards against choosing relays that cannot reach the platform while other nodes can.
test('a node without platform connection and an unreachable node are not chosen as relays', () => {
  const mixed = small.map((each, index) =>
    node(each.name, { platformLost: index === 0, reachable: index !== 1 }),
  );
  expect(names(chooseRelays(mixed)).sort()).toEqual(['c', 'd']);
});

// Guards against an outage during which every node calls the platform because no node qualifies as a relay.
test('while no node reaches the platform, the same two nodes stay relays', () => {
  const lost = small.map(({ name }) => node(name, { platformLost: true }));
  expect(names(chooseRelays(lost))).toEqual(names(chooseRelays(small)));
  const nonRelays = lost.filter(
    (each) =>
      relaysFor(
        each,
        lost.filter((other) => other !== each),
      ).length > 0,
  );
  expect(nonRelays.length).toEqual(2);
});
