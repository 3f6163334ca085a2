import { once } from 'node:events';
import { test } from 'node:test';
import { expect } from 'earl';
import { ProcessGroup } from '../../processes.ts';
import {
  applyServiceTables,
  type ClusterNode,
  entriesOf,
  entryAddresses,
  SHORT_TIMING,
  startClusterNode,
  statusOf,
  waitForEntries,
  waitUntil,
} from '../cluster.ts';

/** Header that makes the service count a request and respond to it only after `LONG_REQUEST_MS`. */
const RUN_ID_HEADER = 'x-run-id';

/** Duration of the request that is in progress when a node is stopped, in ms. */
const LONG_REQUEST_MS = 4000;

/** Starts two nodes and one service that takes `latencyMs` for each request. */
const startServing = async (group: ProcessGroup, latencyMs: number, drainDeadlineMs: number) => {
  const [platform, service] = await Promise.all([
    group.startStandIn('platform'),
    group.startStandIn('service'),
  ]);
  const timing = { ...SHORT_TIMING, drainDeadlineMs };
  const nodes = await Promise.all(
    ['entry-a', 'entry-b'].map((name) =>
      startClusterNode(group, platform.address, name, { timing }),
    ),
  );
  const [stopped, other] = nodes as [ClusterNode, ClusterNode];
  await applyServiceTables(group, stopped, [{ name: 'intake-1', address: service.address }]);
  await waitForEntries(nodes, nodes);
  await waitUntil('both nodes serve', async () => {
    const codes = await Promise.all(nodes.map((node) => statusOf(`http://${node.address}/x`)));
    return codes.every((code) => code === 200);
  });
  const body = JSON.stringify({ latencyMs, answerLatencyMs: LONG_REQUEST_MS });
  await fetch(`http://${service.address}/control/faults`, { method: 'PUT', body });
  return { stopped, other, service };
};

/** Sends one long request through a node and waits until the service works on it. Returns its status. */
const startLongRequest = async (node: ClusterNode, service: { readonly address: string }) => {
  const runId = 'long-request';
  const status = statusOf(`http://${node.address}/reports`, { [RUN_ID_HEADER]: runId });
  await waitUntil('the service works on the long request', async () => {
    const response = await fetch(`http://${service.address}/control/runs`);
    return runId in ((await response.json()) as Record<string, number>);
  });
  return { status };
};

/** Callers that cache the entries for their TTL, as the API allows, and send one request after another. */
class Callers {
  answered = 0;

  readonly failures: string[] = [];

  #ended = false;

  readonly #runs: Promise<void>[];

  constructor(first: ClusterNode, other: ClusterNode, count: number) {
    this.#runs = Array.from({ length: count }, () => this.#run(first, other));
  }

  async end(): Promise<void> {
    this.#ended = true;
    await Promise.all(this.#runs);
  }

  async #run(first: ClusterNode, other: ClusterNode): Promise<void> {
    let { address } = first;
    let cachedUntilMs = performance.now() + SHORT_TIMING.entriesTtlMs;
    while (!this.#ended) {
      if (performance.now() > cachedUntilMs) {
        const answer = (await entriesOf(other)) ?? (await entriesOf(first));
        cachedUntilMs = performance.now() + (answer?.ttlMs ?? 0);
        address =
          answer?.entries.find((entry) => entry.address === first.address)?.address ??
          other.address;
      }
      const code = await statusOf(`http://${address}/reports`);
      if (code === 200) this.answered += 1;
      else this.failures.push(`${address}: ${code}`);
    }
  }
}

/**
 * Sends SIGTERM to one of two nodes under load, while a long request is in progress on it. Returns its exit code, the
 * failed requests, the status of the long request and the last log line.
 */
const stopUnderLoad = async (drainDeadlineMs: number) => {
  await using group = new ProcessGroup();
  const { stopped, other, service } = await startServing(group, 150, drainDeadlineMs);
  const callers = new Callers(stopped, other, 8);
  await waitUntil('callers are answered', () => callers.answered >= 16);
  const { child, lines } = stopped.process;
  const exited = once(child, 'exit') as Promise<[number | null]>;
  const { status } = await startLongRequest(stopped, service);
  child.kill('SIGTERM');
  const [exitCode] = await exited;
  const longRequestStatus = await status;
  const before = callers.answered;
  await waitUntil('the other node answers', () => callers.answered >= before + 16);
  await callers.end();
  await waitUntil('the log line of the stop', () =>
    lines.some((line) => line.includes('event=node-stopped')),
  );
  const lastLine = lines.find((line) => line.includes('event=node-stopped')) ?? '';
  return { exitCode, failures: callers.failures, longRequestStatus, lastLine };
};

// Guards against a planned stop that aborts requests.
test('SIGTERM under load aborts no request', { timeout: 60_000 }, async () => {
  const { exitCode, failures, longRequestStatus, lastLine } = await stopUnderLoad(20_000);
  expect(failures).toEqual([]);
  expect(longRequestStatus).toEqual(200);
  expect(exitCode).toEqual(0);
  expect(lastLine).toInclude('cutOffRequests=0');
});

// Shows that the test above detects a node that exits without draining. Guards the exit code and the number of aborted
// requests that are reported when the drain deadline passes.
test(
  'a drain deadline of 1 ms aborts requests, logs their number and exits with code 1',
  { timeout: 60_000 },
  async () => {
    const { exitCode, failures, longRequestStatus, lastLine } = await stopUnderLoad(1);
    expect(longRequestStatus).toEqual(0);
    expect(failures.length).toBeGreaterThan(0);
    expect(exitCode).toEqual(1);
    expect(lastLine).toInclude('reason=deadline');
    expect(Number(/cutOffRequests=(\d+)/.exec(lastLine)?.[1])).toBeGreaterThan(0);
  },
);

// Guards the sequence of a planned stop: not ready, no longer listed by any node, still serving, and immediate exit at
// the second signal.
test(
  'a stopping node is no longer listed, still serves, and exits at a second signal',
  { timeout: 60_000 },
  async () => {
    await using group = new ProcessGroup();
    const { stopped, other } = await startServing(group, 0, 60_000);
    const { child, lines } = stopped.process;
    child.kill('SIGTERM');
    await waitUntil(
      'the stopping node is not ready',
      async () => (await statusOf(`http://${stopped.address}/readyz`)) === 503,
    );
    expect(await entryAddresses(stopped)).toEqual([other.address]);
    await waitForEntries([other], [other]);
    expect(await statusOf(`http://${stopped.address}/reports`)).toEqual(200);
    const exited = once(child, 'exit') as Promise<[number | null]>;
    child.kill('SIGINT');
    expect((await exited)[0]).toEqual(1);
    await waitUntil('the log line of the stop', () =>
      lines.some((line) => /event=node-stopped .*reason=second-signal/.test(line)),
    );
  },
);
