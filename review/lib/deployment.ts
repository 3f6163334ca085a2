import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream, type WriteStream } from 'node:fs';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { startPlatform } from '../../playground/standIns/platform.ts';
import { call, CannotRun, findFreePorts, sleepMs, TROUBLE, waitUntil } from './calls.ts';
import type { BatchPage } from './messages.ts';
import { PlatformProxy } from './platformProxy.ts';
import type { EngineSettings } from './standInEngine.ts';
import { fillTemplate } from './template.ts';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));

/** `contact-ms`: undisturbed machines are in touch after this time. */
export const CONTACT_MS = 3000;

/** Time limit of a node's start, in ms. */
const START_TIMEOUT_MS = 15_000;

/** Something that a stand-in server saw. */
export interface EngineEvent {
  readonly atMs: number;
  readonly engine: string;
  readonly event:
    | 'reached'
    | 'run'
    | 'head'
    | 'dropped'
    | 'finished'
    | 'answered 200'
    | 'answered 504'
    | 'order'
    | 'version';
  readonly id: string;
  readonly after?: number;
}

export interface Engine {
  readonly id: string;
  readonly address: string;
  readonly child: ChildProcess;
}

/** An entry machine with its process. */
export interface Node {
  readonly name: string;
  readonly front: string;
  readonly file: string;
  readonly proxy: PlatformProxy;
  child: ChildProcess | undefined;
}

const DEFAULT_ENGINE = {
  slots: 2,
  queue: 4,
  firstEventMs: 50,
  eventGapMs: 45,
  unframed: false,
  plainMs: 15,
};

/** A value of the entry machines' role in the deploy file. */
const deployFileValue = async (name: string): Promise<string> => {
  const file = await readFile(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const role = file.slice(file.indexOf('[roles.entry]'));
  return new RegExp(`^${name} = "(.*)"$`, 'm').exec(role)?.[1] ?? '';
};

type Platform = Awaited<ReturnType<typeof startPlatform>>;

/** A small deployment: the project's own processes, with stand-ins for the platform's store and the servers. */
export class Deployment {
  readonly nodes: Node[] = [];

  readonly engineEvents: EngineEvent[] = [];

  readonly platform: Platform;

  readonly #folder: string;

  readonly #record: WriteStream;

  readonly #children = new Set<ChildProcess>();

  readonly #startMs = Date.now();

  private constructor(platform: Platform, folder: string, record: string) {
    this.platform = platform;
    this.#folder = folder;
    this.#record = createWriteStream(record);
    this.log(`disruption: ${TROUBLE ? 'played' : 'not played (TROUBLE=0)'}`);
  }

  /** @param record - file that gets what was sent, answered and run */
  static async create(record: string): Promise<Deployment> {
    const folder = await mkdtemp(path.join(tmpdir(), 'review-'));
    return new Deployment(await startPlatform(), folder, record);
  }

  /** Adds a line to the record. */
  log(text: string): void {
    const seconds = ((Date.now() - this.#startMs) / 1000).toFixed(3).padStart(8);
    this.#record.write(`${seconds} ${text}\n`);
  }

  /** Writes a desired state as the operator does; the write's return is its confirmation. */
  writeConfig(spec: { readonly version: number }): void {
    this.platform.put('config', 'main', spec);
    this.log(`operator: desired state ${spec.version} confirmed`);
  }

  /** Names a version of the weights as a trainer does. */
  nameVersion(version: number): void {
    this.platform.put('versions', 'model', { model: 'model', version });
    this.log(`trainer: version ${version} named`);
  }

  /** Starts the servers of a service, as processes of their own, and registers them. */
  startEngines(
    service: string,
    count: number,
    settings: Partial<EngineSettings> = {},
  ): Promise<Engine[]> {
    return Promise.all(
      Array.from({ length: count }, (_, index) =>
        this.#startEngine(service, `zone-${(index % 2) + 1}`, {
          ...DEFAULT_ENGINE,
          ...settings,
          id: `${service}-${index + 1}`,
        }),
      ),
    );
  }

  /** Makes the plain requests of a server take longer. */
  async slowDown({ id, address }: Engine, factor: number): Promise<void> {
    await call(address, { method: 'PUT', url: '/slowdown', body: String(factor) });
    this.log(`server ${id}: requests take ${factor} times as long`);
  }

  /** Removes the entry of a server that is gone. */
  async unregister(id: string): Promise<void> {
    await call(this.platform.address, { method: 'DELETE', url: `/objects/servers/${id}` });
    this.log(`platform: entry of server ${id} removed`);
  }

  /** Prepares the entry machines and starts their processes. Waits until they are in touch and one dispatches. */
  async startNodes(count: number, service: string): Promise<Node> {
    const template = await deployFileValue('template');
    const settings = await readFile(path.join(ROOT, template), 'utf8');
    // An address of its own for each machine, as the deploy file's template has a fixed port.
    const network = `127.${1 + Math.floor(Math.random() * 250)}.${Math.floor(Math.random() * 250)}`;
    const hosts = Array.from({ length: count }, (_, index) => `${network}.${11 + index}`);
    const ports = await Promise.all(hosts.map((host) => findFreePorts(host, 5)));
    const seeds = hosts.map((host, index) => `${host}:${ports[index]?.[2]}`).slice(0, 3);
    for (const [index, ip] of hosts.entries()) {
      const [front = 0, ready = 0, control = 0, directory = 0, internal = 0] = ports[index] ?? [];
      const proxy = new PlatformProxy(Number(this.platform.address.split(':').at(-1)));
      const name = `front-${index + 1}`;
      const file = path.join(this.#folder, `${name}.yaml`);
      const fields = {
        ...{ 'node-name': name, ip, zone: `zone-${index + 1}`, region: 'region', seeds },
        'internal-port-range': [internal, internal],
        listen: {
          front: `${ip}:${front}`,
          ready: `${ip}:${ready}`,
          control: `${ip}:${control}`,
          directory: `${ip}:${directory}`,
        },
        limits: { 'cpu-share': 0.675, cores: 1 },
        bounds: { 'lease-ms': 3000, 'fencing-required': true },
        platform: { address: `127.0.0.1:${await proxy.listen()}`, 'value-bytes': 1_048_576 },
      };
      await writeFile(file, fillTemplate(settings, fields));
      this.nodes.push({ ...{ name, file, proxy }, front: `${ip}:${front}`, child: undefined });
    }
    await Promise.all(this.nodes.map((node) => this.startNode(node)));
    await waitUntil('a dispatcher', 10_000, () => this.dispatcherOf(service) !== undefined);
    await sleepMs(CONTACT_MS);
    const [first] = this.nodes;
    if (first === undefined) throw new CannotRun('there are no nodes');
    return first;
  }

  /** Starts the process of a machine with the command of the deploy file. */
  async startNode(node: Node): Promise<void> {
    const command = await deployFileValue('run');
    const [program = '', ...args] = command
      .split(' ')
      .map((word) => (word === '/etc/hyssoppulley/boot.toml' ? node.file : word));
    const child = this.#spawn(path.join(ROOT, program), args);
    Object.assign(node, { child });
    let started = false;
    createInterface({ input: child.stdout as NodeJS.ReadableStream }).on('line', (line) => {
      if (line.includes('event=node-started')) started = true;
    });
    await waitUntil(`start of ${node.name}`, START_TIMEOUT_MS, () => started);
    this.log(`${node.name}: process ${child.pid} started`);
  }

  /** The machine whose process dispatches the batches of a service. */
  dispatcherOf(service: string): Node | undefined {
    const object = this.platform.get('dispatchers', service)?.spec as
      { readonly value: { readonly node: string } } | undefined;
    return this.nodes.find(({ name }) => name === object?.value.node);
  }

  /** Submits a batch. @throws CannotRun if it is not accepted */
  async submit(node: Node, id: string, batch: object): Promise<void> {
    const response = await call(node.front, {
      method: 'POST',
      url: `/rollout/${id}`,
      headers: { 'x-request-id': id, 'content-type': 'application/json' },
      body: JSON.stringify(batch),
    });
    this.log(`client: batch ${id} submitted at ${node.name}: ${response?.statusCode}`);
    if (response?.statusCode !== 202) throw new CannotRun(`batch ${id} was not accepted`);
  }

  /** Ends a batch. @throws CannotRun if the end is not confirmed */
  async endBatch(node: Node, id: string): Promise<void> {
    const response = await call(node.front, { method: 'DELETE', url: `/lots/${id}` });
    this.log(`client: batch ${id} ended at ${node.name}: ${response?.statusCode}`);
    if (response?.statusCode !== 200) throw new CannotRun(`the end of ${id} was not confirmed`);
  }

  async read(node: Node, id: string, after: number): Promise<BatchPage | undefined> {
    const response = await call(node.front, {
      url: `/lots/${id}?after=${after}`,
      headers: { 'x-wait-ms': 1000 },
      timeoutMs: 2500,
    });
    const page =
      response?.statusCode === 200 ? (JSON.parse(response.body) as BatchPage) : undefined;
    this.log(
      `client: results of ${id} from ${after} at ${node.name}: ${response?.statusCode}, ` +
        `${page?.results.length ?? 0} results of ${page?.total ?? '?'}`,
    );
    return page;
  }

  /** Reads a batch about twice a second until all results are listed or `untilMs`. */
  async readAll(node: Node, id: string, total: number, untilMs: number) {
    const results: BatchPage['results'][number][] = [];
    while (Date.now() < untilMs && results.length < total) {
      results.push(...((await this.read(node, id, results.length))?.results ?? []));
      await sleepMs(500);
    }
    this.log(`client: ${results.length} of ${total} results of ${id} when the step ends`);
    return results;
  }

  /** Ends all processes that this deployment started. */
  async stop(): Promise<void> {
    const running = [...this.#children].filter(
      ({ exitCode, signalCode }) => exitCode === null && signalCode === null,
    );
    const exits = running.map((child) => once(child, 'exit'));
    for (const child of running) child.kill('SIGKILL');
    await Promise.all(exits);
    for (const { proxy } of this.nodes) proxy.close();
    this.platform.server.closeAllConnections();
    this.platform.server.close();
    await rm(this.#folder, { recursive: true, force: true });
    this.#record.end();
    await once(this.#record, 'finish');
  }

  async #startEngine(service: string, zone: string, settings: EngineSettings): Promise<Engine> {
    const { id, slots } = settings;
    const program = path.join(ROOT, 'review/lib/standInEngine.ts');
    const child = this.#spawn(process.execPath, [program, JSON.stringify(settings)]);
    const lines = createInterface({ input: child.stdout as NodeJS.ReadableStream });
    const port = await new Promise<number>((resolve, reject) => {
      lines.once('line', (line) => resolve(Number(line)));
      child.once('exit', () => reject(new CannotRun(`${id} has not started`)));
    });
    const register = (version: number, sequence: number) =>
      this.platform.put('servers', id, {
        ...{ service, zone, slots, state: 'ready', version: '1', sequence, born: 1 },
        address: `127.0.0.1:${port}`,
        'cold-remaining-ms': 0,
        models: [{ name: 'model', version, adapters: [] }],
      });
    lines.on('line', (line) => {
      const event = { engine: id, ...(JSON.parse(line) as Omit<EngineEvent, 'engine'>) };
      this.engineEvents.push(event);
      const { event: name, id: request, after } = event;
      this.log(`server ${id}: ${name} ${request}${after ? ` after event ${after}` : ''}`);
      if (name === 'version') register(Number(request), 2);
    });
    register(1, 1);
    return { id, child, address: `127.0.0.1:${port}` };
  }

  #spawn(program: string, args: readonly string[]): ChildProcess {
    const child = spawn(program, args, { cwd: ROOT, stdio: ['ignore', 'pipe', 'inherit'] });
    this.#children.add(child);
    return child;
  }
}
