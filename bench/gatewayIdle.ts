import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { readFile, writeFile } from 'node:fs/promises';
import path from 'node:path';
import { ProcessGroup } from '../playground/processes.ts';
import { sleepMs } from '../playground/standIns/standInServer.ts';
import { linearFit, printTable } from './model/statistics.ts';

// Measures the CPU time of idle gateways by the number of nodes, with the timing of deploy/entry.yaml. Nodes are processes
// of the built program on loopback addresses. Command: npm run build:platform && npx tsx bench/gatewayIdle.ts
// With the arguments `COUNT --profile FOLDER`, only COUNT nodes are measured, and the CPU profile of the first is written
// to FOLDER.
const NODE_COUNTS = [4, 8, 16, 40];
const SETTLE_MS = 12_000;
const MEASURE_MS = 20_000;
const TARGET_NODES = 410;
const ZONES = 4;
const PORTS = { front: 7900, ready: 7901, directory: 7902, peer: 7903, datagrams: 7904 };

/** Clock ticks per second in /proc. */
const TICKS_PER_S = 100;

const root = path.resolve(import.meta.dirname, '..');

const createObject = async (platform: string, kind: string, name: string, spec: unknown) => {
  const response = await fetch(`http://${platform}/objects/${kind}`, {
    method: 'POST',
    body: JSON.stringify({ metadata: { name }, spec }),
  });
  if (!response.ok) throw new Error(`platform stand-in responded with status ${response.status}`);
};

const writeTables = (platform: string) =>
  createObject(platform, 'config', 'main', {
    version: 1,
    routes: [
      {
        ...{ name: 'batches', host: 'idle.example', 'path-prefix': '/batches/', kind: 'rollout' },
        ...{ service: 'engines', 'timeout-ms': 3000, 'target-latency-ms': 300 },
      },
    ],
    services: [
      {
        ...{ name: 'engines', 'max-connections': 100 },
        engine: { slots: 8, 'kv-cache-tokens': 1e6, stride: 1, models: [{ name: 'model' }] },
      },
    ],
    limits: {
      ...{ 'max-header-bytes': 16_384, 'max-body-bytes': 1_000_000 },
      ...{ 'header-timeout-ms': 5000, 'idle-timeout-ms': 60_000 },
    },
  });

/** Renders the settings of a node from the deployment template. */
const renderSettings = async (index: number, platform: string): Promise<string> => {
  const template = await readFile(path.join(root, 'deploy/entry.yaml'), 'utf8');
  const host = `127.0.1.${index + 1}`;
  const values: Record<string, string> = {
    ...{ 'node-name': `node-${index}`, region: 'r', zone: `z${index % ZONES}`, ip: host },
    ...{ 'platform.address': platform, 'platform.value-bytes': '1000000' },
    ...{ 'limits.cpu-share': '0.324', 'limits.cores': '1' },
    ...{ 'bounds.lease-ms': '3000', 'bounds.fencing-required': 'true' },
    'listen.front': `${host}:${PORTS.front}`,
    'listen.ready': `${host}:${PORTS.ready}`,
    'listen.directory': `${host}:${PORTS.directory}`,
    'listen.control': `${host}:${PORTS.peer}`,
    'internal-port-range.0': String(PORTS.datagrams),
  };
  return template
    .replace(/\{\{#seeds\}\}.*\{\{\/seeds\}\}/, '')
    .replace(/\{\{([^}]+)\}\}/g, (_, name: string) => values[name] ?? '');
};

const cpuMs = async (pid: number): Promise<number> => {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return ((Number(fields[11]) + Number(fields[12])) * 1000) / TICKS_PER_S;
};

const measure = async (nodeCount: number, profileFolder: string | undefined): Promise<number> => {
  await using group = new ProcessGroup();
  const { address: platform } = await group.startStandIn('platform');
  await writeTables(platform);
  const folder = await group.temporaryFolder();
  const startNode = async (index: number) => {
    const file = path.join(folder, `node-${index}.yaml`);
    await writeFile(file, await renderSettings(index, platform));
    const profile =
      profileFolder !== undefined && index === 0
        ? ['--cpu-prof', `--cpu-prof-dir=${profileFolder}`]
        : [];
    return spawn(
      path.join(root, 'target/node'),
      [...profile, path.join(root, 'target/hyssoppulley.cjs'), 'node', '--config', file],
      { stdio: 'ignore' },
    );
  };
  const nodes = await Promise.all(
    Array.from({ length: nodeCount }, (_, index) => startNode(index)),
  );
  try {
    await sleepMs(SETTLE_MS);
    const totalCpuMs = async () => {
      const cpuTimesMs = await Promise.all(nodes.map(({ pid }) => cpuMs(pid ?? 0)));
      return cpuTimesMs.reduce((sum, ms) => sum + ms, 0);
    };
    const beforeMs = await totalCpuMs();
    await sleepMs(MEASURE_MS);
    return ((await totalCpuMs()) - beforeMs) / MEASURE_MS / nodeCount;
  } finally {
    for (const node of nodes) node.kill('SIGTERM');
    await Promise.all(nodes.map((node) => once(node, 'exit')));
  }
};

const [nodeCountArgument, , profileFolder] = process.argv.slice(2);
const nodeCounts = nodeCountArgument === undefined ? NODE_COUNTS : [Number(nodeCountArgument)];
const shares: number[] = [];
for (const count of nodeCounts) {
  shares.push(await measure(count, profileFolder));
  console.log(`${count} nodes: ${((shares.at(-1) ?? 0) * 100).toFixed(2)}% of a core per node`);
}
if (nodeCounts.length > 1) {
  const fit = linearFit(nodeCounts, shares);
  printTable(
    ['quantity', 'slope per node', 'intercept', `at ${TARGET_NODES} nodes`],
    [
      [
        'share of a core, %',
        (fit.slope * 100).toFixed(4),
        (fit.intercept * 100).toFixed(2),
        ((fit.intercept + fit.slope * TARGET_NODES) * 100).toFixed(2),
      ],
    ],
  );
}
