import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { readFile, writeFile } from 'node:fs/promises';
import path from 'node:path';
import { ProcessGroup } from '../playground/processes.ts';
import { sleepMs } from '../playground/standIns/standInServer.ts';
import { linearFit, printTable } from './model/statistics.ts';

// Processor time of gateways that serve nobody, by the number of nodes, with the timing of deploy/entry.yaml. Nodes are
// processes of the built program on loopback addresses. Command: npm run build:platform && npx tsx bench/gatewayIdle.ts
// With a node count and --profile, the processor profile of the first node is written to the folder named after it.
const NODE_COUNTS = [4, 8, 16, 40];
const SETTLE_MS = 12_000;
const MEASURE_MS = 20_000;
const TARGET_NODES = 410;
const ZONES = 4;
const PORTS = { front: 7900, ready: 7901, directory: 7902, peer: 7903, datagrams: 7904 };

/** Clock ticks a second in /proc. */
const TICKS_PER_S = 100;

const root = path.resolve(import.meta.dirname, '..');

const write = async (platform: string, kind: string, name: string, spec: unknown) => {
  const response = await fetch(`http://${platform}/objects/${kind}`, {
    method: 'POST',
    body: JSON.stringify({ metadata: { name }, spec }),
  });
  if (!response.ok) throw new Error(`the platform's stand-in answered ${response.status}`);
};

const writeTables = (platform: string) =>
  write(platform, 'config', 'main', {
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

/** Settings of a node, from the deployment's own template. */
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
  const { address: platform } = await group.standIn('platform');
  await writeTables(platform);
  const folder = await group.folder();
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
    const total = async () => {
      const each = await Promise.all(nodes.map(({ pid }) => cpuMs(pid ?? 0)));
      return each.reduce((sum, ms) => sum + ms, 0);
    };
    const beforeMs = await total();
    await sleepMs(MEASURE_MS);
    return ((await total()) - beforeMs) / MEASURE_MS / nodeCount;
  } finally {
    for (const node of nodes) node.kill('SIGTERM');
    await Promise.all(nodes.map((node) => once(node, 'exit')));
  }
};

const [onlyCount, , profileFolder] = process.argv.slice(2);
const counts = onlyCount === undefined ? NODE_COUNTS : [Number(onlyCount)];
const shares: number[] = [];
for (const count of counts) {
  shares.push(await measure(count, profileFolder));
  console.log(`${count} nodes: ${((shares.at(-1) ?? 0) * 100).toFixed(2)}% of a core a node`);
}
if (counts.length > 1) {
  const fit = linearFit(counts, shares);
  printTable(
    ['quantity', 'slope a node', 'intercept', `at ${TARGET_NODES}`],
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
