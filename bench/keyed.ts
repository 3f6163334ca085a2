import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import type { ClusterNode } from '../playground/membership/cluster.ts';
import {
  type KeyedDeployment,
  startKeyedDeployment,
} from '../playground/keyedRequests/keyedDeployment.ts';
import { formatKeyPrefix, parseIdempotencyKey } from '../src/node/decisions/idempotencyKey.ts';
import { KeyHome } from '../src/node/decisions/keyHome.ts';
import { KeyWitness } from '../src/node/decisions/keyWitness.ts';

// Measures the cost of non-idempotent requests: added latency, CPU time, peer calls and memory of records, and compares
// the outcomes of two designs, with and without a witness, when a home is killed. Everything runs on this machine over
// loopback, without the latency between zones. Command: npm run bench:keyed

const ENTRY_COUNTS = [1000, 10_000, 100_000];
const REQUESTS_PER_MODE = 500;
const RESPONSE_BYTES = 200;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

const delay = (delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });

/**
 * Returns the memory in use, in bytes. Collects several times, because buffers are freed some time after the collection
 * that finds them unreachable.
 */
const usedBytes = async (): Promise<number> => {
  for (let round = 0; round < 3; round += 1) {
    collectGarbage();
    await delay(50);
  }
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
};

const createKey = (index: number) =>
  parseIdempotencyKey(
    `${formatKeyPrefix({ homeIncarnation: 'a'.repeat(16), witnessIncarnation: 'b'.repeat(16), expiresAtMs: 2e12 }, 's')}order-${index}`,
  );

const fillHome = (count: number, withResponse: boolean): KeyHome => {
  const home = new KeyHome({
    incarnation: 'a'.repeat(16),
    secret: 's',
    keyTtlMs: 600_000,
    maxRecords: count,
    maxKeptBytes: 1e9,
    maxResponseBytes: 1e6,
    maxWaiting: 32,
    now: () => 1e12,
  });
  for (let index = 0; index < count; index += 1) {
    const key = createKey(index);
    home.arrive(key, `fingerprint-of-43-characters-in-base64url-${index % 10}`);
    home.handleGrantDecision(key, 'granted');
    home.beginDispatch(key, true);
    const body = Buffer.alloc(RESPONSE_BYTES);
    if (withResponse) {
      home.recordResponse(key, {
        statusCode: 200,
        headers: { 'content-type': 'text/plain' },
        body,
      });
    } else home.recordLostResponse(key);
  }
  return home;
};

const fillWitness = (count: number): KeyWitness => {
  const witness = new KeyWitness({
    incarnation: 'b'.repeat(16),
    maxGrants: count,
    maxSeals: count,
    now: () => 1e12,
  });
  for (let index = 0; index < count; index += 1) witness.grant(createKey(index));
  return witness;
};

/** Fits a least-squares line through points. */
const fitLine = (points: readonly (readonly [number, number])[]) => {
  const mean = (index: 0 | 1) =>
    points.reduce((sum, point) => sum + point[index], 0) / points.length;
  const [meanX, meanY] = [mean(0), mean(1)];
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const slope = covariance / variance;
  const intercept = meanY - slope * meanX;
  const residuals = points.map(([x, y]) => Math.abs(y - (intercept + slope * x)) / y);
  return { slope, intercept, residualAtEnd: residuals.at(-1) ?? NaN };
};

const measureMemory = async (
  name: string,
  fill: (count: number) => { readonly size: number },
): Promise<void> => {
  // Warm-up: JIT compilation and one-time allocations would otherwise count for the first entry count.
  fill(2000);
  const points: [number, number][] = [];
  for (const count of ENTRY_COUNTS) {
    const emptyBytes = await usedBytes();
    const filled = fill(count);
    const bytes = (await usedBytes()) - emptyBytes;
    if (filled.size !== count) throw new Error(`${name}: ${filled.size} of ${count} entries`);
    points.push([count, bytes]);
  }
  const { slope, intercept, residualAtEnd } = fitLine(points);
  const sizes = points.map(([count, bytes]) => `${count}: ${(bytes / 1024).toFixed(0)} KiB`);
  console.log(
    `${name}: ${sizes.join(', ')}; fit ${slope.toFixed(0)} B per entry plus ${(intercept / 1024).toFixed(0)} KiB, ` +
      `${(residualAtEnd * 100).toFixed(1)}% residual at the largest`,
  );
};

const quantile = (sorted: readonly number[], fraction: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? NaN;

const post = async (address: string, path: string, key: string | undefined): Promise<string> => {
  const response = await fetch(`http://${address}${path}`, {
    method: 'POST',
    headers: key ? { 'idempotency-key': key } : {},
    body: 'crew',
  });
  await response.arrayBuffer();
  return response.headers.get('x-hyssoppulley-outcome') ?? 'answered';
};

/** Returns the total CPU time of the nodes and the number of their grant and seal calls so far. */
const readCosts = async ({ nodes, metric }: KeyedDeployment) => {
  const sum = async (name: string, labels?: string) =>
    (await Promise.all(nodes.map((node) => metric(node, name, labels)))).reduce((a, b) => a + b, 0);
  return {
    cpuSeconds: await sum('process_cpu_seconds_total'),
    calls:
      (await sum('hyssoppulley_peer_calls_total', 'GrantDispatch')) +
      (await sum('hyssoppulley_peer_calls_total', 'SealKey')),
  };
};

/** Measures the CPU use of the nodes without requests, in seconds per second. */
const measureIdle = async (deployment: KeyedDeployment): Promise<number> => {
  const before = await readCosts(deployment);
  const startMs = performance.now();
  await delay(4000);
  const after = await readCosts(deployment);
  return ((after.cpuSeconds - before.cpuSeconds) * 1000) / (performance.now() - startMs);
};

const measureMode = async (
  deployment: KeyedDeployment,
  idleCpu: number,
  name: string,
  entry: ClusterNode,
  path: string,
  keyOf: (index: number) => string | undefined,
): Promise<number> => {
  for (let index = 0; index < 50; index += 1) await post(entry.address, path, keyOf(-1 - index));
  const before = await readCosts(deployment);
  const latencies: number[] = [];
  const startMs = performance.now();
  for (let index = 0; index < REQUESTS_PER_MODE; index += 1) {
    const sentMs = performance.now();
    const outcome = await post(entry.address, path, keyOf(index));
    if (outcome !== 'answered') throw new Error(`${name}: ${outcome}`);
    latencies.push(performance.now() - sentMs);
  }
  const seconds = (performance.now() - startMs) / 1000;
  const after = await readCosts(deployment);
  latencies.sort((a, b) => a - b);
  const busySeconds = after.cpuSeconds - before.cpuSeconds - idleCpu * seconds;
  const cpuMs = (busySeconds * 1000) / REQUESTS_PER_MODE;
  const calls = (after.calls - before.calls) / REQUESTS_PER_MODE;
  console.log(
    `${name}: p50 ${quantile(latencies, 0.5).toFixed(2)} ms, p99 ${quantile(latencies, 0.99).toFixed(2)} ms, ` +
      `${cpuMs.toFixed(2)} ms CPU of all nodes above idle, ${calls.toFixed(2)} grant or seal calls per request (${seconds.toFixed(1)} s)`,
  );
  return quantile(latencies, 0.5);
};

/** Sends requests at a constant rate, kills their home in between, and counts the outcomes that callers receive. */
const measureKill = async (deployment: KeyedDeployment, home: ClusterNode, entry: ClusterNode) => {
  const prefix = await deployment.createKey(home, deployment.nodes[1] as ClusterNode, '');
  const counts: Record<string, number> = {};
  await deployment.setAnswerLatencyMs(50);
  const pending: Promise<void>[] = [];
  for (let index = 0; index < 400; index += 1) {
    if (index === 200) home.process.child.kill('SIGKILL');
    pending.push(
      post(entry.address, '/dispatch', `${prefix}kill-${index}`).then((outcome) => {
        counts[outcome] = (counts[outcome] ?? 0) + 1;
      }),
    );
    await delay(5);
  }
  await Promise.all(pending);
  await deployment.setAnswerLatencyMs(0);
  const { answered = 0, 'not-run': notRun = 0, unknown = 0 } = counts;
  console.log(
    `home killed after 200 of 400 requests (one every 5 ms, each taking 50 ms): ${answered} answered; ` +
      `home and witness: ${notRun} not-run, ${unknown} unknown; ` +
      `home alone (unknown whenever the home does not respond): 0 not-run, ${notRun + unknown} unknown`,
  );
};

await measureMemory(`record with a response of ${RESPONSE_BYTES} B`, (count) =>
  fillHome(count, true),
);
await measureMemory('record without a response', (count) => fillHome(count, false));
await measureMemory('witness entry', fillWitness);

await using deployment = await startKeyedDeployment(['entry-a', 'entry-b', 'entry-c', 'entry-d']);
const [home, witness, entry, killed] = deployment.nodes as [
  ClusterNode,
  ClusterNode,
  ClusterNode,
  ClusterNode,
];
const prefix = await deployment.createKey(home, witness, '');
const idleCpu = await measureIdle(deployment);
console.log(`idle: ${(idleCpu * 1000).toFixed(0)} ms CPU per second of all nodes`);
const idempotent = await measureMode(
  deployment,
  idleCpu,
  'idempotent',
  home,
  '/read',
  () => undefined,
);
const assigned = await measureMode(
  deployment,
  idleCpu,
  'key assigned by the entry',
  home,
  '/dispatch',
  () => undefined,
);
const granted = await measureMode(
  deployment,
  idleCpu,
  'own key, entry is the home',
  home,
  '/dispatch',
  (index) => `${prefix}home${index}`,
);
const forwarded = await measureMode(
  deployment,
  idleCpu,
  'own key, entry is another node',
  entry,
  '/dispatch',
  (index) => `${prefix}entry${index}`,
);
console.log(
  `added to the p50 of an idempotent request: ${(assigned - idempotent).toFixed(2)} ms assigned, ` +
    `${(granted - idempotent).toFixed(2)} ms with a grant, ${(forwarded - idempotent).toFixed(2)} ms forwarded and with a grant`,
);
await measureKill(deployment, killed, entry);
