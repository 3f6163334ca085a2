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

// Guards against callers being sent to a dead node: the target is 4 s after the kill.
test('a killed node leaves the entries of the others within 4 s', { timeout: 60_000 }, async () => {
  await using group = new ProcessGroup();
  const platform = await group.standIn('platform');
  const nodes = await Promise.all(
    ['entry-a', 'entry-b', 'entry-c'].map((name) =>
      startClusterNode(group, platform.address, name),
    ),
  );
  type Node = (typeof nodes)[number];
  const [first, second, killed] = nodes as [Node, Node, Node];
  // Without accepted tables a node may not serve and names no entries.
  await applyServiceTables(group, first, []);
  await waitForEntries(nodes, nodes);
  const answer = await entriesOf(first);
  expect(answer?.ttlMs).toEqual(SHORT_TIMING.entriesTtlMs);
  killed.process.child.kill('SIGKILL');
  expect(await waitForEntries([first, second], [first, second])).toBeLessThan(4000);
});
