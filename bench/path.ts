import { once } from 'node:events';
import http from 'node:http';
import { createClient } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import { build, type Histogram } from 'hdr-histogram-js';
import { OperatorService } from '../src/gen/hyssoppulley/v1/operator_pb.ts';
import { newId } from '../src/shared/random.ts';
import { parseTables } from '../src/node/tables/parseTables.ts';
import { ProcessGroup } from '../playground/processes.ts';

// Measures the overhead of requests through a node compared with direct requests to the stand-ins. Stand-ins, node and
// load generator run in separate processes. Direct and routed rounds alternate, so that changes of the machine's load
// affect both. Command: npm run bench:path
const TIME_LIMIT_MS = 58_000;
const LATENCY_ROUNDS = 5;
const REQUESTS_PER_ROUND = 120;
const THROUGHPUT_ROUNDS = 2;
const THROUGHPUT_ROUND_MS = 1000;
const CONCURRENCY = 64;
const STREAM_COUNTS = [1000, 5000];
const SLOW_READERS = 200;
const SLOW_READ_MS = 3000;

const agent = new http.Agent({ keepAlive: true, maxSockets: Infinity });

interface Target {
  readonly name: 'direct' | 'routed';
  readonly address: string;
}

interface Workload {
  readonly path: string;
  readonly body: string;
}

const SERVICE: Workload = { path: '/reports/1', body: 'gas odour, 3rd floor' };
const ENGINE: Workload = {
  path: '/v1/completions',
  body: JSON.stringify({ prompt: 'smell of gas', max_tokens: 1, stream: true }),
};

const openRequest = async (
  address: string,
  { path, body }: Workload,
): Promise<http.IncomingMessage> => {
  const request = http.request(`http://${address}${path}`, { method: 'POST', agent });
  request.end(body);
  const [response] = (await once(request, 'response')) as [http.IncomingMessage];
  return response;
};

const call = async (address: string, workload: Workload): Promise<void> => {
  const response = await openRequest(address, workload);
  if (response.statusCode !== 200) throw new Error(`status ${response.statusCode}`);
  response.resume();
  await once(response, 'end');
};

const newHistogram = (): Histogram =>
  build({ lowestDiscernibleValue: 1, numberOfSignificantValueDigits: 3 });

const measureLatency = async (targets: readonly Target[], workload: Workload) => {
  const histograms = { direct: newHistogram(), routed: newHistogram() };
  for (let round = 0; round <= LATENCY_ROUNDS; round += 1) {
    for (const { name, address } of targets) {
      for (let sent = 0; sent < REQUESTS_PER_ROUND; sent += 1) {
        const startMs = performance.now();
        await call(address, workload);
        // The first round is a warm-up.
        if (round > 0) {
          histograms[name].recordValue(Math.round((performance.now() - startMs) * 1000));
        }
      }
    }
  }
  return histograms;
};

const measureThroughput = async (targets: readonly Target[], workload: Workload) => {
  const totals = { direct: 0, routed: 0 };
  for (let round = 0; round < THROUGHPUT_ROUNDS; round += 1) {
    for (const { name, address } of targets) {
      const endMs = performance.now() + THROUGHPUT_ROUND_MS;
      const client = async () => {
        while (performance.now() < endMs) {
          await call(address, workload);
          totals[name] += 1;
        }
      };
      await Promise.all(Array.from({ length: CONCURRENCY }, client));
    }
  }
  const seconds = (THROUGHPUT_ROUNDS * THROUGHPUT_ROUND_MS) / 1000;
  return { direct: totals.direct / seconds, routed: totals.routed / seconds };
};

const readGauge = async (address: string, name: string): Promise<number> => {
  const text = await (await fetch(`http://${address}/metrics`)).text();
  return Number(new RegExp(`^${name}(?:\\{[^}]*\\})? (\\S+)$`, 'm').exec(text)?.[1]);
};

const residentBytes = (address: string) => readGauge(address, 'process_resident_memory_bytes');

const setFaults = (address: string, faults: object) =>
  fetch(`http://${address}/control/faults`, { method: 'PUT', body: JSON.stringify(faults) });

const sleepMs = (delayMs: number) =>
  new Promise<void>((resolve) => {
    setTimeout(resolve, delayMs);
  });

/** Opens streams in batches that fit into the node's listen backlog. */
const openMany = async (address: string, workload: Workload, count: number) => {
  const opening: Promise<http.IncomingMessage>[] = [];
  while (opening.length < count) {
    const batch = Math.min(100, count - opening.length);
    opening.push(...Array.from({ length: batch }, () => openRequest(address, workload)));
    await sleepMs(20);
  }
  const responses = await Promise.all(opening);
  for (const response of responses) response.on('error', () => {});
  return responses;
};

const waitUntilIdle = async (address: string) => {
  while ((await readGauge(address, 'hyssoppulley_in_flight_requests')) > 0) await sleepMs(50);
};

const measureOpenStreams = async (node: string, engine: string) => {
  // One token every 3 s keeps the streams open and nearly idle.
  await setFaults(engine, { tokenIntervalMs: 3000 });
  const workload = {
    path: '/v1/completions',
    body: JSON.stringify({ prompt: 'smell of gas', max_tokens: 8, stream: true }),
  };
  for (const count of STREAM_COUNTS) {
    const before = await residentBytes(node);
    const responses = await openMany(node, workload, count);
    for (const response of responses) response.resume();
    const after = await residentBytes(node);
    console.log(
      `open streams ${count}: ${((after - before) / count / 1024).toFixed(1)} KiB of resident memory each`,
    );
    for (const response of responses) response.destroy();
    await waitUntilIdle(node);
  }
};

const measureSlowReaders = async (node: string, engine: string) => {
  await setFaults(engine, { tokenIntervalMs: 0 });
  const workload = {
    path: '/v1/completions',
    body: JSON.stringify({ prompt: 'smell of gas', max_tokens: 100_000, stream: true }),
  };
  const before = await residentBytes(node);
  const responses = await openMany(node, workload, SLOW_READERS);
  // Two readings, because only growth between them would show that memory use is unbounded.
  for (const part of [1, 2]) {
    await sleepMs(SLOW_READ_MS / 2);
    const grownMiB = ((await residentBytes(node)) - before) / 1024 / 1024;
    console.log(
      `slow readers ${SLOW_READERS}, ${(SLOW_READ_MS * part) / 2} ms without reading: ${grownMiB.toFixed(1)} MiB of resident memory in total`,
    );
  }
  for (const response of responses) response.destroy();
  await waitUntilIdle(node);
};

const startDeployment = async (group: ProcessGroup) => {
  const [platform, engine, service] = await Promise.all([
    group.startStandIn('platform'),
    group.startStandIn('engine'),
    group.startStandIn('service'),
  ]);
  const node = await group.startNode({
    name: 'entry-1',
    region: 'pl-central',
    availabilityZone: 'pl-central-a',
    callerPort: 0,
    peerPort: 0,
    platform: { url: `http://${platform.address}` },
    limits: { maxConcurrent: 8000 },
  });
  const tables = parseTables(
    `
routes:
  - { name: triage, match: { pathPrefix: /v1/completions }, pool: triage-lm }
  - { name: reports, match: { pathPrefix: /reports }, pool: intake }
pools:
  - name: triage-lm
    protocol: model-engine
    maxConcurrentPerWorker: 8000
    workers: [{ name: engine-1, address: "${engine.address}" }]
  - name: intake
    protocol: plain-service
    maxConcurrentPerWorker: 8000
    workers: [{ name: intake-1, address: "${service.address}" }]
`,
    'tables.yaml',
  );
  const operator = createClient(
    OperatorService,
    createConnectTransport({ baseUrl: `http://127.0.0.1:${node.peerPort}`, httpVersion: '1.1' }),
  );
  await operator.applyTables({ tables, operationId: newId(), waitMs: 16_000 });
  return { node: `127.0.0.1:${node.callerPort}`, engine: engine.address, service: service.address };
};

const comparePaths = async (name: string, workload: Workload, direct: string, node: string) => {
  const targets: Target[] = [
    { name: 'direct', address: direct },
    { name: 'routed', address: node },
  ];
  const latency = await measureLatency(targets, workload);
  for (const percentile of [50, 99]) {
    const directUs = latency.direct.getValueAtPercentile(percentile);
    const routedUs = latency.routed.getValueAtPercentile(percentile);
    console.log(
      `${name} p${percentile}: direct ${directUs} us, routed ${routedUs} us, added ${routedUs - directUs} us`,
    );
  }
  const rate = await measureThroughput(targets, workload);
  console.log(
    `${name} at concurrency ${CONCURRENCY}: direct ${rate.direct.toFixed(0)} requests/s, routed ${rate.routed.toFixed(0)} requests/s`,
  );
};

process.on('uncaughtException', (error) => {
  // Requests in progress fail when the processes are stopped at the time limit.
  if (process.exitCode === undefined) throw error;
});

const run = async () => {
  await using group = new ProcessGroup();
  const timer = setTimeout(() => {
    console.error(`not finished after ${TIME_LIMIT_MS} ms; the figures above are complete`);
    process.exitCode = 1;
    void group[Symbol.asyncDispose]().then(() => process.exit());
  }, TIME_LIMIT_MS);
  const { node, engine, service } = await startDeployment(group);
  await comparePaths('service', SERVICE, service, node);
  await setFaults(engine, { tokenIntervalMs: 0 });
  await comparePaths('engine', ENGINE, engine, node);
  await measureSlowReaders(node, engine);
  await measureOpenStreams(node, engine);
  clearTimeout(timer);
  agent.destroy();
};

await run();
process.exit();
