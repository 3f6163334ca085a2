import { writeFile } from 'node:fs/promises';
import http from 'node:http';
import net from 'node:net';
import path from 'node:path';
import { ProcessGroup, type StartedProcess } from '../processes.ts';
import { sleepMs } from '../standIns/standInServer.ts';
import { FaultProxy } from './faultProxy.ts';
import { RunCounts } from './runCounts.ts';
import { SoakWorker } from './soakWorker.ts';

const NODES = 4;
const WORKERS = 4;
const ZONES = 2;

/** Ports that nodes listen on. */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;

/** Time between attempts of the operator while the platform is away, in ms. */
const WRITE_RETRY_MS = 200;

/** Time until a started node serves, in ms; a busy machine starts several at once. */
const START_MS = 30_000;

export const HOST = 'soak.example';

/** Answer of a call; undefined: the connection ended without a whole one. */
export interface CallAnswer {
  readonly statusCode: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

/** One HTTP call to 127.0.0.1. Resolves with undefined when there is no whole answer in time. */
export const call = (
  port: number,
  { method = 'GET', url = '/', headers = {}, body = '', timeoutMs = 4000 },
): Promise<CallAnswer | undefined> =>
  new Promise((resolve) => {
    const request = http.request({ host: '127.0.0.1', port, method, path: url, headers });
    const timer = setTimeout(() => request.destroy(), timeoutMs);
    request.once('close', () => {
      clearTimeout(timer);
      resolve(undefined);
    });
    request.once('error', () => {});
    request.once('response', (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.once('error', () => {});
      response.once('end', () => {
        if (!response.complete) return;
        const { statusCode = 0 } = response;
        resolve({ statusCode, headers: response.headers, body: Buffer.concat(chunks).toString() });
      });
    });
    request.end(body);
  });

const isFree = (port: number): Promise<boolean> =>
  new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });

/** Ports that were given to a node, which may not listen on them yet or is down. */
const givenPorts = new Set<number>();

/** Free ports below those that the kernel gives to outgoing connections, so that a node that is down keeps its own. */
const freePorts = async (count: number): Promise<readonly number[]> => {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
    if (givenPorts.has(port) || !(await isFree(port))) continue;
    givenPorts.add(port);
    ports.push(port);
  }
  return ports;
};

/** A node of the deployment. */
export interface SoakNode {
  readonly name: string;
  readonly file: string;
  readonly frontPort: number;
  readonly readyPort: number;
  readonly directoryPort: number;
  readonly platformProxy: FaultProxy;
  process: StartedProcess | undefined;
}

/** A deployment of real processes: the platform's stand-in, nodes, and workers behind proxies. */
export class SoakDeployment implements AsyncDisposable {
  readonly counts = new RunCounts();

  readonly nodes: SoakNode[] = [];

  readonly workerProxies: FaultProxy[] = [];

  /** Lines of all nodes, for a failed seed. */
  readonly logs: string[] = [];

  readonly #group = new ProcessGroup();

  readonly workers: SoakWorker[] = [];

  #platformPort = 0;

  #writing = Promise.resolve();

  /** Revision of the tables that were written last; the route `/rN/` exists from revision N on. */
  revision = 0;

  async start(): Promise<void> {
    const { address } = await this.#group.standIn('platform');
    this.#platformPort = Number(address.split(':').at(-1));
    await this.writeTables();
    for (let index = 0; index < WORKERS; index += 1) await this.#startWorker(index);
    for (let index = 0; index < NODES; index += 1) this.nodes.push(await this.#prepare(index));
    await Promise.all(this.nodes.map((node) => this.startNode(node)));
  }

  /** Writes the next revision of the tables, which adds a route; tries again while the platform is away. */
  writeTables(): Promise<void> {
    this.#writing = this.#writing.then(async () => {
      while (!(await this.#writeRevision(this.revision + 1))) await sleepMs(WRITE_RETRY_MS);
      this.revision += 1;
    });
    return this.#writing;
  }

  #writeRevision(revision: number): Promise<boolean> {
    const route = (kind: string, prefix: string) => ({
      ...{ name: prefix, host: HOST, 'path-prefix': prefix, kind, service: 'service' },
      ...{ 'timeout-ms': 3000, 'target-latency-ms': 300, 'max-attempts': 3 },
    });
    const added = Array.from({ length: revision }, (_, index) => `/r${index + 1}/`);
    const batches = {
      ...route('rollout', '/batches/'),
      ...{ 'result-deadline-ms': 10_000, 'item-ttl-s': 60 },
    };
    const spec = {
      version: revision,
      routes: [
        ...[route('idempotent', '/twice/'), route('non_idempotent', '/once/'), batches],
        ...added.map((prefix) => route('idempotent', prefix)),
      ],
      services: [
        {
          ...{ name: 'service', 'max-connections': 500 },
          engine: { slots: 8, 'kv-cache-tokens': 1e6, stride: 1, models: [{ name: 'model' }] },
        },
      ],
      limits: {
        ...{ 'max-header-bytes': 16_384, 'max-body-bytes': 1_000_000 },
        ...{ 'header-timeout-ms': 5000, 'idle-timeout-ms': 60_000 },
      },
    };
    const isFirst = revision === 1;
    return this.#write(
      isFirst ? 'POST' : 'PUT',
      isFirst ? '/config' : '/config/main',
      'main',
      spec,
    );
  }

  async platformFaults(faults: object): Promise<void> {
    const body = JSON.stringify(faults);
    await call(this.#platformPort, { method: 'PUT', url: '/control/faults', body });
  }

  async startNode(node: SoakNode): Promise<void> {
    const { file } = node;
    const started = await this.#group.start(
      'src/node/cli.ts',
      ['node', '--config', file],
      (line) => line.includes('event=node-started'),
      START_MS,
    );
    const { child } = started;
    child.once('exit', () => {
      this.logs.push(...started.lines);
      if (node.process === started) Object.assign(node, { process: undefined });
    });
    Object.assign(node, { process: started });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const { process } of this.nodes) if (process) this.logs.push(...process.lines);
    await this.#group[Symbol.asyncDispose]();
    const proxies = [...this.workerProxies, ...this.nodes.map((node) => node.platformProxy)];
    await Promise.all([...this.workers, ...proxies].map((each) => each[Symbol.asyncDispose]()));
  }

  async #startWorker(index: number): Promise<void> {
    const worker = new SoakWorker(`w${index}`, this.counts);
    this.workers.push(worker);
    const proxy = new FaultProxy(await worker.listen());
    this.workerProxies.push(proxy);
    await this.#write('POST', '/servers', worker.id, {
      ...{ service: 'service', address: `127.0.0.1:${await proxy.listen()}` },
      ...{ zone: `z${index % ZONES}`, slots: 8, state: 'ready', sequence: 1, born: 1 },
      models: [{ name: 'model', version: 1 }],
    });
  }

  async #prepare(index: number): Promise<SoakNode> {
    const [front = 0, ready = 0, directory = 0, peer = 0, datagrams = 0] = await freePorts(5);
    const platformProxy = new FaultProxy(this.#platformPort);
    const platformPort = await platformProxy.listen();
    const name = `node-${index}`;
    const file = path.join(await this.#group.folder(), `${name}.yaml`);
    const settings = {
      ...{ name, region: 'r', availabilityZone: `z${index % ZONES}`, host: '127.0.0.1' },
      platform: { url: `http://127.0.0.1:${platformPort}`, timeoutMs: 1200, callsPerSecond: 100 },
      timing: { heartbeatIntervalMs: 300, suspectAfterMs: 1200, peerTimeoutMs: 700 },
      gateway: {
        frontAddress: `127.0.0.1:${front}`,
        readyAddress: `127.0.0.1:${ready}`,
        directoryAddress: `127.0.0.1:${directory}`,
        peerAddress: `127.0.0.1:${peer}`,
        datagramAddress: `127.0.0.1:${datagrams}`,
        graceMs: 5000,
        ordersFenced: true,
      },
    };
    await writeFile(file, JSON.stringify(settings));
    return {
      ...{ name, file, platformProxy, process: undefined },
      ...{ frontPort: front, readyPort: ready, directoryPort: directory },
    };
  }

  /** Whether the platform's stand-in took the object. */
  async #write(method: string, url: string, name: string, spec: unknown): Promise<boolean> {
    const body = JSON.stringify({ metadata: { name }, spec });
    const answer = await call(this.#platformPort, { method, url: `/objects${url}`, body });
    return answer !== undefined && answer.statusCode < 300;
  }
}
