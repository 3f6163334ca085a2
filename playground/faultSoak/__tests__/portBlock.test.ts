import { test } from 'node:test';
import { expect } from 'earl';
import { PortBlock } from '../portBlock.ts';

/** Number of deployments; taken at random, 24 ports of each out of 20,000 collide almost certainly. */
const DEPLOYMENTS = 60;

// Guards against a node that does not start because a deployment of another test got the same port (issue 39).
test('a port that a deployment has taken is given to no other, though nothing listens on it yet', async () => {
  const blocks = Array.from({ length: DEPLOYMENTS }, () => new PortBlock());
  try {
    await Promise.all(blocks.map((block) => block.reserve()));
    const ports = (await Promise.all(blocks.map((block) => block.take(24)))).flat();
    expect(new Set(ports).size).toEqual(DEPLOYMENTS * 24);
  } finally {
    await Promise.all(blocks.map((block) => block[Symbol.asyncDispose]()));
  }
});
