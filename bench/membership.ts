import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { create, toBinary } from '@bufbuild/protobuf';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import {
  HeartbeatRequestSchema,
  HeartbeatResponseSchema,
  PeerService,
} from '../src/gen/hyssoppulley/v1/peer_pb.ts';
import { PeerClients } from '../src/node/membership/peerClients.ts';
import { Simulation } from '../playground/membership/simulation.ts';

// Measures memory, messages, CPU time and failure detection time of membership against the number of nodes.
// Command: npx tsx bench/membership.ts
const NODE_COUNTS = [8, 50, 100, 200, 410];

/** Virtual time between the start of a deployment and its measurement, in ms. */
const SETTLE_MS = 5000;

const MEASURED_MS = 10_000;

const HTTP_CALLS = 400;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

const heapBytes = (): number => {
  collectGarbage();
  return process.memoryUsage().heapUsed;
};

/** Measures the overhead of a heartbeat over a keep-alive connection: header bytes and CPU time. */
const measureHttp = async () => {
  const identity = { name: 'entry-17', incarnation: '0123456789abcdef', host: '10.12.14.200' };
  const digest = {
    identity: { ...identity, region: 'pl-central', availabilityZone: 'pl-central-a' },
  };
  const request = create(HeartbeatRequestSchema, { sender: digest });
  const response = create(HeartbeatResponseSchema, { responder: digest });
  const routes = connectNodeAdapter({
    routes: (router) => {
      router.service(PeerService, { heartbeat: () => response });
    },
  });
  const server = http.createServer(routes);
  const bytes = new Promise<{ read: number; written: number }>((resolve) => {
    server.on('connection', (socket) => {
      socket.on('close', () => resolve({ read: socket.bytesRead, written: socket.bytesWritten }));
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const clients = new PeerClients(5000);
  const { port } = server.address() as AddressInfo;
  const client = clients.peer({ host: '127.0.0.1', peerPort: port });
  for (let call = 0; call < HTTP_CALLS / 2; call += 1) await client.heartbeat(request);
  const before = process.cpuUsage();
  for (let call = 0; call < HTTP_CALLS / 2; call += 1) await client.heartbeat(request);
  const { user, system } = process.cpuUsage(before);
  clients[Symbol.dispose]();
  server.close();
  const { read, written } = await bytes;
  return {
    requestHeaderBytes: read / HTTP_CALLS - toBinary(HeartbeatRequestSchema, request).length,
    responseHeaderBytes: written / HTTP_CALLS - toBinary(HeartbeatResponseSchema, response).length,
    /** Half of the CPU time of this process, which runs both sides. */
    cpuMsOfOneSide: (user + system) / 1000 / (HTTP_CALLS / 2) / 2,
  };
};

/** Kills a node and returns the virtual time until all other nodes suspect it, in ms. */
const suspicionTime = async (simulation: Simulation): Promise<number> => {
  const killed = simulation.ports[1] as number;
  simulation.kill(killed);
  for (let elapsedMs = 0; elapsedMs < 15_000; elapsedMs += 100) {
    const someUnaware = [...simulation.nodes.values()].some(({ membership }) =>
      membership.peers().some((peer) => peer.identity.peerPort === killed && !peer.suspected),
    );
    if (!someUnaware) return elapsedMs;
    await simulation.clock.advanceAsync(100);
  }
  return NaN;
};

const measure = async (nodeCount: number, httpCost: Awaited<ReturnType<typeof measureHttp>>) => {
  const heapBefore = heapBytes();
  const simulation = new Simulation({ seed: nodeCount, nodeCount });
  await simulation.start();
  await simulation.clock.advanceAsync(SETTLE_MS);
  const stateBytes = (heapBytes() - heapBefore) / nodeCount;
  const [observed] = simulation.nodes.values();
  let busyMs = 0;
  if (observed) {
    observed.clock.onCallbackDone = (ms) => {
      busyMs += ms;
    };
  }
  const { sentBytes, sentMessages, platform } = simulation;
  const { callCount } = platform;
  await simulation.clock.advanceAsync(MEASURED_MS);
  const seconds = MEASURED_MS / 1000;
  const messages = (simulation.sentMessages - sentMessages) / nodeCount / seconds;
  const payload = (simulation.sentBytes - sentBytes) / nodeCount / seconds;
  const headers = (messages / 2) * (httpCost.requestHeaderBytes + httpCost.responseHeaderBytes);
  if (observed) observed.clock.onCallbackDone = undefined;
  return {
    peers: nodeCount - 1,
    stateKiB: stateBytes / 1024,
    messages,
    payload,
    wire: payload + headers,
    cpuMs: busyMs / seconds + messages * httpCost.cpuMsOfOneSide,
    platformCalls: (platform.callCount - callCount) / nodeCount / seconds,
    suspectedMs: await suspicionTime(simulation),
  };
};

type Row = Awaited<ReturnType<typeof measure>>;

/** Fits a least-squares line and returns it with its largest residual. */
const fit = (rows: readonly Row[], column: keyof Row) => {
  const meanX = rows.reduce((sum, row) => sum + row.peers, 0) / rows.length;
  const meanY = rows.reduce((sum, row) => sum + row[column], 0) / rows.length;
  const covariance = rows.reduce(
    (sum, row) => sum + (row.peers - meanX) * (row[column] - meanY),
    0,
  );
  const variance = rows.reduce((sum, row) => sum + (row.peers - meanX) ** 2, 0);
  const slope = covariance / variance;
  const intercept = meanY - slope * meanX;
  const residual = Math.max(
    ...rows.map((row) => Math.abs(row[column] - intercept - slope * row.peers)),
  );
  return { slope, intercept, residual, atTarget: intercept + slope * 409 };
};

const COLUMNS: { column: keyof Row; label: string; target: string }[] = [
  {
    column: 'stateKiB',
    label: 'state, KiB per node',
    target: '32768 (with all other control state)',
  },
  { column: 'messages', label: 'messages sent, 1/s per node', target: '' },
  { column: 'payload', label: 'payload sent, bytes/s per node', target: '2048' },
  { column: 'wire', label: 'sent with HTTP headers, bytes/s per node', target: '2048' },
  { column: 'cpuMs', label: 'CPU, ms per period of 1 s', target: '11 (1.1% of a core)' },
  { column: 'platformCalls', label: 'platform calls, 1/s per node', target: '' },
  { column: 'suspectedMs', label: 'killed node suspected by all, ms', target: '4000' },
];

const round = (value: number): string => Number(value.toPrecision(4)).toString();

const httpCost = await measureHttp();
console.log(
  `headers: ${round(httpCost.requestHeaderBytes)} bytes per request, ${round(httpCost.responseHeaderBytes)} bytes per response; ` +
    `HTTP and codec: ${round(httpCost.cpuMsOfOneSide)} ms of CPU time per message and side\n`,
);
// Warm-up run: JIT compilation would otherwise count as state and CPU time of the smallest deployment.
await measure(NODE_COUNTS[0] as number, httpCost);
const rows: Row[] = [];
for (const nodeCount of NODE_COUNTS) rows.push(await measure(nodeCount, httpCost));
console.log(
  `| figure | ${rows.map(({ peers }) => `${peers} peers`).join(' | ')} | slope per peer | largest residual | line at 409 | target |`,
);
console.log(`| --- |${' ---: |'.repeat(rows.length + 3)} --- |`);
for (const { column, label, target } of COLUMNS) {
  const { slope, residual, atTarget } = fit(rows, column);
  const figures = [...rows.map((row) => row[column]), slope, residual, atTarget].map(round);
  console.log(`| ${label} | ${figures.join(' | ')} | ${target} |`);
}
