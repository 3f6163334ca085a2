import { execFile } from 'node:child_process';
import { writeFile } from 'node:fs/promises';
import path from 'node:path';
import { promisify } from 'node:util';
import type { EntriesResponse } from '../../src/node/membership/entriesHandler.ts';
import type { ProcessGroup, StartedProcess } from '../processes.ts';

const execFileAsync = promisify(execFile);

/** A quarter of the default intervals, so that tests meet the bounds of the defaults even on a slow machine. */
export const SHORT_TIMING = {
  heartbeatIntervalMs: 250,
  suspectAfterMs: 750,
  isolationMs: 1500,
  headPollIntervalMs: 500,
  vmListIntervalMs: 1250,
  entriesTtlMs: 1000,
  peerTimeoutMs: 250,
};

export interface ClusterNode {
  readonly name: string;
  readonly process: StartedProcess;
  /** IP address and caller port. */
  readonly address: string;
  readonly callerPort: number;
  readonly peerPort: number;
}

/** Starts a node of the test deployment. Its availability zone is the part of the name after the last hyphen. */
export const startClusterNode = async (
  group: ProcessGroup,
  platformAddress: string,
  name: string,
  settings: Record<string, unknown> = {},
): Promise<ClusterNode> => {
  const node = await group.startNode({
    name,
    region: 'pl-central',
    availabilityZone: name.split('-').at(-1),
    callerPort: 0,
    peerPort: 0,
    platform: { url: `http://${platformAddress}`, timeoutMs: 500 },
    timing: SHORT_TIMING,
    ...settings,
  });
  return { name, address: `127.0.0.1:${node.callerPort}`, ...node };
};

/** Applies tables with `firstRoutes`, followed by a route that sends all other requests to a pool of plain services. */
export const applyServiceTables = async (
  group: ProcessGroup,
  node: ClusterNode,
  workers: readonly { name: string; address: string }[],
  firstRoutes: readonly Record<string, unknown>[] = [],
): Promise<void> => {
  const pool = { name: 'intake', protocol: 'plain-service', workers };
  const tables = {
    routes: [
      ...firstRoutes,
      { name: 'all', match: { pathPrefix: '/' }, pool: 'intake', timeoutMs: 20_000 },
    ],
    pools: [pool],
  };
  const file = path.join(await group.temporaryFolder(), 'tables.yaml');
  await writeFile(file, JSON.stringify(tables));
  const args = ['--import', 'tsx', 'src/node/cli.ts', 'apply', '-f', file];
  await execFileAsync(process.execPath, [...args, '--node', `127.0.0.1:${node.peerPort}`]);
};

/** Returns the response to `/v1/entries`; undefined if it is an error or missing. */
export const entriesOf = async (node: ClusterNode): Promise<EntriesResponse | undefined> => {
  try {
    const response = await fetch(`http://${node.address}/v1/entries`, {
      headers: { connection: 'close' },
      signal: AbortSignal.timeout(2000),
    });
    return response.ok ? ((await response.json()) as EntriesResponse) : undefined;
  } catch {
    return undefined;
  }
};

/** Returns the addresses that a node lists in `/v1/entries`, sorted. */
export const entryAddresses = async (node: ClusterNode): Promise<string[]> =>
  ((await entriesOf(node))?.entries ?? []).map(({ address }) => address).sort();

/** Polls `condition` every 20 ms until it holds. Returns the elapsed time, in ms. */
export const waitUntil = async (
  description: string,
  condition: () => boolean | Promise<boolean>,
  timeoutMs = 20_000,
): Promise<number> => {
  const startMs = performance.now();
  while (!(await condition())) {
    if (performance.now() - startMs > timeoutMs) {
      throw new Error(`${description}: not reached within ${timeoutMs} ms`);
    }
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
  }
  return performance.now() - startMs;
};

/** Waits until each of `nodes` lists exactly the addresses of `named`. */
export const waitForEntries = (
  nodes: readonly ClusterNode[],
  named: readonly ClusterNode[],
  timeoutMs?: number,
): Promise<number> => {
  const expected = named
    .map(({ address }) => address)
    .sort()
    .join();
  return waitUntil(
    `every node lists ${named.map(({ name }) => name).join()}`,
    async () => {
      const answers = await Promise.all(nodes.map(entryAddresses));
      return answers.every((addresses) => addresses.join() === expected);
    },
    timeoutMs,
  );
};

/** Sends a request on a new connection. Returns its status code; 0 if the response is missing or incomplete. */
export const statusOf = async (
  url: string,
  headers: Record<string, string> = {},
): Promise<number> => {
  try {
    const response = await fetch(url, {
      headers: { ...headers, connection: 'close' },
      signal: AbortSignal.timeout(10_000),
    });
    await response.arrayBuffer();
    return response.status;
  } catch {
    return 0;
  }
};
