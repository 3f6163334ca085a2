import { test } from 'node:test';
import { expect } from 'earl';
import { ProcessGroup } from '../../processes.ts';
import {
  applyServiceTables,
  entriesOf,
  SHORT_TIMING,
  startClusterNode,
  waitForEntries,
} from '../cluster.ts';

// Guards against listing a dead node to callers for longer than the target of 4 s after the kill.
test('other nodes stop listing a killed node within 4 s', { timeout: 60_000 }, async () => {
  await using group = new ProcessGroup();
  const platform = await group.startStandIn('platform');
  const nodes = await Promise.all(
    ['entry-a', 'entry-b', 'entry-c'].map((name) =>
      startClusterNode(group, platform.address, name),
    ),
  );
  type Node = (typeof nodes)[number];
  const [first, second, killed] = nodes as [Node, Node, Node];
  // A node without accepted tables may not serve and lists no entries.
  await applyServiceTables(group, first, []);
  await waitForEntries(nodes, nodes);
  const answer = await entriesOf(first);
  expect(answer?.ttlMs).toEqual(SHORT_TIMING.entriesTtlMs);
  killed.process.child.kill('SIGKILL');
  expect(await waitForEntries([first, second], [first, second])).toBeLessThan(4000);
});
