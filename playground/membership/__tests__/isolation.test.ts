import { test } from 'node:test';
import { expect } from 'earl';
import { ProcessGroup } from '../../processes.ts';
import {
  applyServiceTables,
  entryAddresses,
  SHORT_TIMING,
  startClusterNode,
  statusOf,
  waitForEntries,
  waitUntil,
} from '../cluster.ts';

const setFaults = (address: string, faults: Record<string, unknown>) =>
  fetch(`http://${address}/control/faults`, { method: 'PUT', body: JSON.stringify(faults) });

const startOneNode = async (group: ProcessGroup, isolationMs: number) => {
  const [platform, service] = await Promise.all([
    group.startStandIn('platform'),
    group.startStandIn('service'),
  ]);
  const node = await startClusterNode(group, platform.address, 'entry-a', {
    timing: { ...SHORT_TIMING, isolationMs },
  });
  await applyServiceTables(group, node, [{ name: 'intake-1', address: service.address }]);
  const url = `http://${node.address}/reports`;
  await waitUntil('the node serves', async () => (await statusOf(url)) === 200);
  return { platform, node, url };
};

/**
 * Pauses the only node for more than 1.5 s and resumes it while the platform does not respond. Returns the status code
 * of the next request.
 */
const statusAfterPause = async (isolationMs: number) => {
  await using group = new ProcessGroup();
  const { platform, node, url } = await startOneNode(group, isolationMs);
  node.process.child.kill('SIGSTOP');
  await setFaults(platform.address, { silent: true });
  // The pause is the fault under test and must outlast the isolation time.
  await new Promise((resolve) => {
    setTimeout(resolve, SHORT_TIMING.isolationMs + 500);
  });
  node.process.child.kill('SIGCONT');
  const code = await statusOf(url);
  await setFaults(platform.address, {});
  await waitUntil('the node serves again', async () => (await statusOf(url)) === 200);
  return code;
};

// Guards against a node that accepts work with an outdated configuration after a pause.
test(
  'a node paused past the isolation time refuses requests until the platform answers again',
  { timeout: 60_000 },
  async () => {
    expect(await statusAfterPause(SHORT_TIMING.isolationMs)).toEqual(503);
    // With an isolation time longer than the pause, the request is answered: the 503 is due to the serving lease.
    expect(await statusAfterPause(600_000)).toEqual(200);
  },
);

// Guards against a platform outage that stops the service to callers or prevents a restarted node from joining.
test(
  'during a platform outage nodes keep serving and a restarted node joins through a peer',
  { timeout: 60_000 },
  async () => {
    await using group = new ProcessGroup();
    const [platform, service] = await Promise.all([
      group.startStandIn('platform'),
      group.startStandIn('service'),
    ]);
    const start = (name: string, settings = {}) =>
      startClusterNode(group, platform.address, name, settings);
    const [first, second, third] = await Promise.all([
      start('entry-a'),
      start('entry-b'),
      start('entry-c'),
    ]);
    await applyServiceTables(group, first, [{ name: 'intake-1', address: service.address }]);
    await waitForEntries([first, second, third], [first, second, third]);
    const serves = async (address: string) => (await statusOf(`http://${address}/reports`)) === 200;
    await waitUntil('every node serves', async () =>
      (await Promise.all([first, second, third].map(({ address }) => serves(address)))).every(
        Boolean,
      ),
    );
    await setFaults(platform.address, { outage: true });
    third.process.child.kill('SIGKILL');
    await waitForEntries([first, second], [first, second]);
    // Longer than the isolation time, so that only heartbeats between peers can renew the serving leases.
    await new Promise((resolve) => {
      setTimeout(resolve, SHORT_TIMING.isolationMs + 500);
    });
    expect(await Promise.all([serves(first.address), serves(second.address)])).toEqual([
      true,
      true,
    ]);
    const seedPeers = [`127.0.0.1:${first.peerPort}`, `127.0.0.1:${second.peerPort}`];
    const restarted = await start('entry-c', { seedPeers });
    await waitUntil('the restarted node serves', () => serves(restarted.address));
    await waitForEntries([first, second, restarted], [first, second, restarted]);
    expect((await entryAddresses(first)).length).toEqual(3);
  },
);
