import { test } from 'node:test';
import { expect } from 'earl';
import { claimDelayMs, CLAIM_STAGGER_MS, type HolderCandidate } from '../holderClaim.ts';

const node = (name: string, capacityMillicores = 675, eligible = true): HolderCandidate => ({
  name,
  incarnation: `${name}-1`,
  capacityMillicores,
  eligible,
});

// Guards against nodes that all claim a pool at the same time, and against a pool that no node claims.
test('eligible nodes of equal capacity get distinct claim delays starting at 0', () => {
  const nodes = ['a', 'b', 'c', 'd'].map((name) => node(name));
  const delays = nodes.map((self) =>
    claimDelayMs(
      'pool',
      self,
      nodes.filter((other) => other !== self),
    ),
  );
  expect(new Set(delays)).toEqual(new Set([0, 1, 2, 3].map((step) => step * CLAIM_STAGGER_MS)));
});

// Guards against a small VM that becomes the dispatcher although a larger one is available.
test('the node with the highest CPU capacity claims first', () => {
  const large = node('large', 1350);
  expect(claimDelayMs('pool', large, [node('a'), node('b')])).toEqual(0);
  expect(claimDelayMs('pool', node('a'), [large])).toEqual(CLAIM_STAGGER_MS);
});

// Guards against a claim by a node that is leaving or cannot reach the platform.
test('an ineligible node does not claim and does not delay other nodes', () => {
  expect(claimDelayMs('pool', node('a', 675, false), [])).toEqual(undefined);
  expect(claimDelayMs('pool', node('a'), [node('large', 1350, false)])).toEqual(0);
});
