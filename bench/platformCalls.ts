import { fileURLToPath } from 'node:url';
import path from 'node:path';
import { readFile } from 'node:fs/promises';
import { create } from '@bufbuild/protobuf';
import { createClient } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import { platformClientFactory } from '../playground/platformClientFactory.ts';
import { ProcessGroup } from '../playground/processes.ts';
import { OperatorService } from '../src/gen/hyssoppulley/v1/operator_pb.ts';
import { NodeSettingsSchema } from '../src/gen/hyssoppulley/v1/settings_pb.ts';
import { startNode } from '../src/node/node.ts';
import { silentLogger } from '../src/node/observability/logger.ts';
import { resolveSettings } from '../src/node/settings/resolveSettings.ts';
import { parseTables } from '../src/node/tables/parseTables.ts';
import { sleepMs } from '../playground/standIns/standInServer.ts';
import { linearFit, printTable } from './model/statistics.ts';

// Measures the platform calls per operation, the CPU time and the memory of nodes without requests, with default intervals
// and the tables of an example. Command: npx tsx bench/platformCalls.ts
const NODE_COUNTS = [2, 4, 8, 12];
const SETTLE_MS = 6000;
const MEASURE_MS = 8000;
const TARGET_NODES = 410;

interface Measurement {
  readonly callsPerSecond: Readonly<Record<string, number>>;
  readonly startupCallsPerNode: number;
  readonly cpuShare: number;
  readonly heapBytes: number;
}

const exampleFile = fileURLToPath(new URL('../examples/czujka/tables.yaml', import.meta.url));

/** Returns the example's tables with the worker addresses replaced by those of stand-ins. */
const exampleTables = async (group: ProcessGroup): Promise<string> => {
  const text = await readFile(exampleFile, 'utf8');
  const addresses = [...new Set(text.match(/10(\.[0-9]+){3}:[0-9]+/g))];
  const standIns = await Promise.all(addresses.map(() => group.startStandIn('engine')));
  return addresses.reduce(
    (tables, address, index) => tables.replaceAll(`"${address}"`, `"${standIns[index]?.address}"`),
    text,
  );
};

const fetchCallCounts = async (address: string): Promise<Record<string, number>> => {
  const response = await fetch(`http://${address}/control/counts`);
  return (await response.json()) as Record<string, number>;
};

const sumCounts = (counts: Readonly<Record<string, number>>): number =>
  Object.values(counts).reduce((sum, count) => sum + count, 0);

const measure = async (nodeCount: number): Promise<Measurement> => {
  await using group = new ProcessGroup();
  const platform = await group.startStandIn('platform');
  const tables = parseTables(await exampleTables(group), path.basename(exampleFile));
  const startNodeAt = (index: number) =>
    startNode(
      resolveSettings(
        create(NodeSettingsSchema, {
          name: `entry-${index}`,
          region: 'pl-central',
          availabilityZone: `pl-central-${index % 4}`,
          callerPort: 0,
          peerPort: 0,
          platform: { url: `http://${platform.address}` },
        }),
      ),
      { logger: silentLogger, platform: platformClientFactory(`http://${platform.address}`) },
    );
  const nodes = await Promise.all(
    Array.from({ length: nodeCount }, (_, index) => startNodeAt(index)),
  );
  const startupCallsPerNode = sumCounts(await fetchCallCounts(platform.address)) / nodeCount;
  const transport = createConnectTransport({
    baseUrl: `http://127.0.0.1:${nodes[0]?.peerPort}`,
    httpVersion: '1.1',
  });
  await createClient(OperatorService, transport).applyTables({
    tables,
    operationId: 'bench',
    waitMs: 16_000,
  });
  await sleepMs(SETTLE_MS);
  const before = await fetchCallCounts(platform.address);
  const cpuBefore = process.cpuUsage();
  await sleepMs(MEASURE_MS);
  const cpu = process.cpuUsage(cpuBefore);
  const after = await fetchCallCounts(platform.address);
  const heapBytes = process.memoryUsage().heapUsed;
  for (const node of nodes) await node[Symbol.asyncDispose]();
  return {
    callsPerSecond: Object.fromEntries(
      Object.entries(after).map(([name, count]) => [
        name,
        ((count - (before[name] ?? 0)) * 1000) / MEASURE_MS,
      ]),
    ),
    startupCallsPerNode,
    cpuShare: (cpu.user + cpu.system) / 1000 / MEASURE_MS,
    heapBytes,
  };
};

const results: Measurement[] = [];
for (const nodeCount of NODE_COUNTS) results.push(await measure(nodeCount));
const operations = [
  ...new Set(results.flatMap(({ callsPerSecond }) => Object.keys(callsPerSecond))),
];
const formatRow = (name: string, values: readonly number[], digits: number) => {
  const { slope, intercept, rSquared } = linearFit(NODE_COUNTS, values);
  return [
    name,
    ...values.map((value) => value.toFixed(digits)),
    slope.toFixed(digits),
    rSquared.toFixed(3),
    (intercept + slope * TARGET_NODES).toFixed(0),
  ];
};
printTable(
  [
    'quantity',
    ...NODE_COUNTS.map((count) => `${count} nodes`),
    'slope per node',
    'R²',
    'at 410 nodes',
  ],
  [
    ...operations.map((name) =>
      formatRow(
        `${name} calls/s`,
        results.map(({ callsPerSecond }) => callsPerSecond[name] ?? 0),
        3,
      ),
    ),
    formatRow(
      'all calls/s',
      results.map(({ callsPerSecond }) => sumCounts(callsPerSecond)),
      3,
    ),
    formatRow(
      'CPU of all nodes, % of a core',
      results.map(({ cpuShare }) => cpuShare * 100),
      2,
    ),
    formatRow(
      'heap of all nodes, MiB',
      results.map(({ heapBytes }) => heapBytes / 2 ** 20),
      2,
    ),
  ],
);
console.log(
  `\nplatform calls during startup: ${results.map((each) => each.startupCallsPerNode.toFixed(1)).join(', ')} per node`,
);
process.exit(0);
