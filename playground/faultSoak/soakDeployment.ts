import { writeFile } from 'node:fs/promises';
import http from 'node:http';
import path from 'node:path';
import { newId } from '../../src/shared/random.ts';
import { ProcessGroup, type StartedProcess } from '../processes.ts';
import { sleepMs } from '../standIns/standInServer.ts';
import { FaultProxy } from './faultProxy.ts';
import { REVOKE_AFTER_MS, SoakAccounts, tenantsOf } from './soakAccounts.ts';
import { ItemRuns } from './itemRuns.ts';
import { PortBlock } from './portBlock.ts';
import { RunCounts } from './runCounts.ts';
import { SoakControl, USAGE_WINDOW_MS } from './soakControl.ts';
import { SoakWorker } from './soakWorker.ts';

const NODE_COUNT = 4;
const WORKER_COUNT = 4;
export const WORKER_SLOTS = 8;
const ZONE_COUNT = 2;

/** Time between attempts to write tables during a platform outage, in ms. */
const WRITE_RETRY_MS = 200;

/** Timeout of a node's start, in ms. Long because several nodes start at once on a busy machine. */
const START_TIMEOUT_MS = 30_000;

export const HOST = 'soak.example';

/** A complete HTTP response. */
export interface CallResponse {
  readonly statusCode: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

/** Makes one HTTP call to 127.0.0.1. Resolves with undefined when no complete response arrives within `timeoutMs`. */
export const call = (
  port: number,
  { method = 'GET', url = '/', headers = {}, body = '', timeoutMs = 4000 },
): Promise<CallResponse | undefined> =>
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

/** The stand-in for the platform and the nodes as real processes, and workers in this process behind proxies. */
export class SoakDeployment implements AsyncDisposable {
  readonly runCounts = new RunCounts();

  readonly itemRuns = new ItemRuns();

  readonly accounts = new SoakAccounts();

  readonly control = new SoakControl();

  readonly nodes: SoakNode[] = [];

  readonly workerProxies: FaultProxy[] = [];

  /** Ports of the proxies, which stay those of the workers when they start again. */
  readonly workerPorts: number[] = [];

  /** Output lines of all nodes, printed for a failed seed. */
  readonly logs: string[] = [];

  readonly #group = new ProcessGroup();

  readonly #ports = new PortBlock();

  readonly workers: SoakWorker[] = [];

  /** Keeps the nodes of soaks that run on the same machine apart when they reuse each other's ports. */
  readonly #name = newId();

  #platformPort = 0;

  #lastTablesWrite = Promise.resolve();

  /** Last written revision of the tables. The route `/rN/` exists from revision N on. */
  revision = 0;

  async start(): Promise<void> {
    await this.#ports.reserve();
    const { address } = await this.#group.startStandIn('platform');
    this.#platformPort = Number(address.split(':').at(-1));
    await this.control.listen();
    await this.writeTables();
    for (let index = 0; index < WORKER_COUNT; index += 1) await this.#startWorker(index);
    for (let index = 0; index < NODE_COUNT; index += 1) this.nodes.push(await this.#prepare(index));
    await Promise.all(this.nodes.map((node) => this.startNode(node)));
    this.control.nodesStarted();
  }

  /** Writes the next revision of the tables, which adds a route. Retries until the platform accepts it. */
  writeTables(): Promise<void> {
    this.#lastTablesWrite = this.#lastTablesWrite.then(async () => {
      while ((await this.#writeRevision(this.revision + 1)) >= 300) await sleepMs(WRITE_RETRY_MS);
      this.revision += 1;
      this.accounts.confirmed(this.revision);
    });
    return this.#lastTablesWrite;
  }

  #writeRevision(revision: number): Promise<number> {
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
        ...added.map((prefix) => ({ ...route('idempotent', prefix), public: true })),
      ],
      services: [
        {
          ...{ name: 'service', 'max-connections': 500 },
          engine: {
            slots: WORKER_SLOTS,
            'kv-cache-tokens': 1e6,
            stride: 1,
            models: [{ name: 'model' }],
          },
        },
      ],
      tenants: tenantsOf(revision),
      limits: {
        ...{ 'max-header-bytes': 16_384, 'max-body-bytes': 1_000_000 },
        ...{ 'header-timeout-ms': 5000, 'idle-timeout-ms': 60_000 },
      },
    };
    const isFirst = revision === 1;
    return this.#writeObject(
      isFirst ? 'POST' : 'PUT',
      isFirst ? '/config' : '/config/main',
      'main',
      spec,
    );
  }

  async setPlatformFaults(faults: object): Promise<void> {
    const body = JSON.stringify(faults);
    await call(this.#platformPort, { method: 'PUT', url: '/control/faults', body });
  }

  /** Writes the registration of a worker, or deletes it. Retries until the platform accepts it. */
  async register(index: number, method: 'POST' | 'PUT' | 'DELETE'): Promise<void> {
    const { id, startedAtMs } = this.workers[index] ?? { id: '', startedAtMs: 0 };
    const url = method === 'POST' ? '/servers' : `/servers/${id}`;
    const spec = {
      ...{ service: 'service', address: `127.0.0.1:${this.workerPorts[index]}` },
      ...{ zone: `z${index % ZONE_COUNT}`, slots: WORKER_SLOTS, state: 'ready', sequence: 1 },
      ...{ born: startedAtMs, models: [{ name: 'model', version: 1 }] },
    };
    // Status of a repeated call when only the response to the first one was lost.
    const repeatedStatus = { POST: 409, PUT: 200, DELETE: 404 }[method];
    const isDone = (status: number) => status < 300 || status === repeatedStatus;
    while (!isDone(await this.#writeObject(method, url, id, spec))) await sleepMs(WRITE_RETRY_MS);
  }

  async startNode(node: SoakNode): Promise<void> {
    const { file } = node;
    const started = await this.#group.start(
      'src/node/cli.ts',
      ['node', '--config', file],
      (line) => line.includes('event=node-started'),
      START_TIMEOUT_MS,
    );
    const { child } = started;
    child.once('exit', () => {
      this.logs.push(...started.lines);
      if (node.process === started) Object.assign(node, { process: undefined });
      if (this.nodes.every(({ process }) => process === undefined)) this.control.allNodesEnded();
    });
    Object.assign(node, { process: started });
    this.control.nodeStarted();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#group[Symbol.asyncDispose]();
    const proxies = [...this.workerProxies, ...this.nodes.map((node) => node.platformProxy)];
    await Promise.all(
      [...this.workers, ...proxies, this.control].map((resource) =>
        resource[Symbol.asyncDispose](),
      ),
    );
    await this.#ports[Symbol.asyncDispose]();
  }

  async #startWorker(index: number): Promise<void> {
    const worker = new SoakWorker(`w${index}`, this.runCounts, this.itemRuns);
    this.workers.push(worker);
    const proxy = new FaultProxy(await worker.listen());
    this.workerProxies.push(proxy);
    const [port = 0] = await this.#ports.take(1);
    this.workerPorts.push(await proxy.listen(port));
    await this.register(index, 'POST');
  }

  async #prepare(index: number): Promise<SoakNode> {
    const [front = 0, ready = 0, directory = 0, peer = 0, datagrams = 0] =
      await this.#ports.take(5);
    const platformProxy = new FaultProxy(this.#platformPort);
    const platformPort = await platformProxy.listen();
    const name = `node-${index}`;
    const file = path.join(await this.#group.temporaryFolder(), `${name}.yaml`);
    const settings = {
      ...{ name, region: 'r', availabilityZone: `z${index % ZONE_COUNT}`, host: '127.0.0.1' },
      deployment: this.#name,
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
        strictRevocation: true,
        revokeAfterMs: REVOKE_AFTER_MS,
        control: {
          ...{ address: this.control.address, duties: 'usage_reporting' },
          usageWindowS: USAGE_WINDOW_MS / 1000,
        },
      },
    };
    await writeFile(file, JSON.stringify(settings));
    return {
      ...{ name, file, platformProxy, process: undefined },
      ...{ frontPort: front, readyPort: ready, directoryPort: directory },
    };
  }

  /** Writes an object. Returns the status of the stand-in for the platform, or 504 if there was no response. */
  async #writeObject(method: string, url: string, name: string, spec: unknown): Promise<number> {
    // Node sends the body of a DELETE without its length.
    const body = method === 'DELETE' ? '' : JSON.stringify({ metadata: { name }, spec });
    const response = await call(this.#platformPort, { method, url: `/objects${url}`, body });
    return response?.statusCode ?? 504;
  }
}
