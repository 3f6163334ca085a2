import { test } from 'node:test';
import { expect } from 'earl';
import { claimDelayMs, CLAIM_STEP_MS, type DispatcherCandidate } from '../dispatcherClaim.ts';

const node = (name: string, capacityMillicores = 675, able = true): DispatcherCandidate => ({
  name,
  incarnation: `${name}-1`,
  capacityMillicores,
  able,
});

// Guards against nodes that claim a pool all at once, and against a pool that nobody claims.
test('each able node has its own delay and one has none', () => {
  const nodes = ['a', 'b', 'c', 'd'].map((name) => node(name));
  const delays = nodes.map((self) =>
    claimDelayMs(
      'pool',
      self,
      nodes.filter((other) => other !== self),
    ),
  );
  expect(new Set(delays)).toEqual(new Set([0, 1, 2, 3].map((step) => step * CLAIM_STEP_MS)));
});

// Guards against a small VM that dispatches beside larger ones.
test('the node with the most processor time comes first', () => {
  const large = node('large', 1350);
  expect(claimDelayMs('pool', large, [node('a'), node('b')])).toEqual(0);
  expect(claimDelayMs('pool', node('a'), [large])).toEqual(CLAIM_STEP_MS);
});

// Guards against a claim by a node that is leaving or that the platform does not answer.
test('a node that is not able does not claim and is not waited for', () => {
  expect(claimDelayMs('pool', node('a', 675, false), [])).toEqual(undefined);
  expect(claimDelayMs('pool', node('a'), [node('large', 1350, false)])).toEqual(0);
});
