import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { freePorts, HOST, sleepMs } from './servers.ts';
import { renderTemplate } from './template.ts';
import type { StandInStore } from './platform.ts';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));

const START_TIMEOUT_MS = 30_000;

/** Ports of a node: front, ready, directory, control, datagrams and metrics. */
const PORTS_PER_NODE = 6;

/** Bounds of a small deployment, as its sheet names them. */
const BOUNDS = {
  ...{ 'contact-ms': 3000, 'drain-ms': 2000, 'grace-s': 8, 'status-s': 120, 'settle-ms': 1000 },
  ...{ 'cancel-ms': 3000, 'fencing-required': true, 'lease-ms': 3000 },
};

/** An end of a process that the case did not ask for. */
export interface OwnEnd {
  readonly node: string;
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
  readonly atMs: number;
}

/** An entry node of the deployment, started with the command of the deploy file. */
export interface EntryNode {
  readonly name: string;
  readonly frontPort: number;
  readonly readyPort: number;
  readonly directoryPort: number;
  readonly controlPort: number;
  /** Port of the store to which this node is connected. */
  readonly storePort: number;
  readonly settingsFile: string;
  child: ChildProcess | undefined;
  readonly lines: string[];
}

export interface DeploymentOptions {
  readonly store: StandInStore;
  readonly nodeCount: number;
  /** Bounds that differ from those of the sheet. */
  readonly bounds?: Readonly<Record<string, number | boolean>>;
  /** Lines of the section `gateway` that the template does not have. */
  readonly extraSettings?: readonly string[];
}

/** Entry nodes as real processes, with settings like those that `deploy/entry.yaml` renders for a small deployment. */
export class Deployment {
  readonly nodes: EntryNode[] = [];

  /** Ends of processes that the case did not ask for. */
  readonly ownEnds: OwnEnd[] = [];

  readonly #options: DeploymentOptions;

  readonly #expected = new WeakSet<ChildProcess>();

  #folder = '';

  #template = '';

  constructor(options: DeploymentOptions) {
    this.#options = options;
  }

  async start(): Promise<void> {
    this.#folder = await mkdtemp(path.join(tmpdir(), 'review-'));
    const { nodeCount, store } = this.#options;
    this.#template = await readFile(path.join(ROOT, 'deploy/entry.yaml'), 'utf8');
    const ports = await freePorts(nodeCount * PORTS_PER_NODE);
    const portsOf = (index: number) =>
      ports.slice(index * PORTS_PER_NODE, (index + 1) * PORTS_PER_NODE);
    const controls = Array.from({ length: nodeCount }, (_, index) => portsOf(index)[3] ?? 0);
    const seeds = controls.slice(0, 3).map((port) => `${HOST}:${port}`);
    for (let index = 0; index < nodeCount; index += 1) {
      const [frontPort = 0, readyPort = 0, directoryPort = 0, controlPort = 0, ...others] =
        portsOf(index);
      const [datagrams = 0, metrics = 0] = others;
      const name = `front-${index + 1}`;
      const storePort = await store.open();
      const settingsFile = path.join(this.#folder, `${name}.yaml`);
      const addresses = { frontPort, readyPort, directoryPort, controlPort };
      const settings = this.#settings(name, { ...addresses, datagrams, metrics, storePort }, seeds);
      await writeFile(settingsFile, settings);
      const child = undefined;
      this.nodes.push({ name, ...addresses, storePort, settingsFile, child, lines: [] });
    }
    await Promise.all(this.nodes.map((node) => this.startNode(node)));
  }

  /** Starts a node and waits until it has started, unless it ends before. */
  async startNode(node: EntryNode, waits = true): Promise<void> {
    const args = ['--max-old-space-size=220', 'target/hyssoppulley.cjs', 'node', '--config'];
    const child = spawn(path.join(ROOT, 'target/node'), [...args, node.settingsFile], {
      cwd: ROOT,
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { PATH: process.env.PATH, HOME: process.env.HOME },
    });
    Object.assign(node, { child });
    const startedLine = new Promise<void>((resolve) => {
      for (const output of [child.stdout, child.stderr]) {
        createInterface(output).on('line', (line) => {
          node.lines.push(line);
          if (line.includes('event=node-started')) resolve();
        });
      }
    });
    child.once('exit', (code, signal) => {
      if (node.child === child) Object.assign(node, { child: undefined });
      if (this.#expected.has(child)) return;
      this.ownEnds.push({ node: node.name, code, signal, atMs: Date.now() });
    });
    if (!waits) return;
    await Promise.race([startedLine, once(child, 'exit'), sleepMs(START_TIMEOUT_MS)]);
  }

  /** Sends SIGTERM to a node, whose end is then expected. */
  terminate(node: EntryNode): void {
    if (node.child === undefined) return;
    this.#expected.add(node.child);
    node.child.kill('SIGTERM');
  }

  async kill(node: EntryNode): Promise<void> {
    const { child } = node;
    if (child === undefined) return;
    this.#expected.add(child);
    child.kill('SIGKILL');
    await once(child, 'exit');
  }

  async stop(): Promise<void> {
    await Promise.all(this.nodes.map((node) => this.kill(node)));
    if (this.#folder !== '') await rm(this.#folder, { recursive: true, force: true });
  }

  /** Settings as the platform renders them from the template of the deploy file, for a deployment of small machines. */
  #settings(name: string, ports: Record<string, number>, seeds: readonly string[]): string {
    const { bounds, extraSettings = [] } = this.#options;
    const at = (port: number | undefined) => `${HOST}:${port}`;
    const rendered = renderTemplate(this.#template, {
      ...{ 'node-name': name, region: 'r', zone: 'z', ip: HOST, seeds },
      'internal-port-range': [ports.datagrams, ports.datagrams],
      listen: {
        front: at(ports.frontPort),
        ready: at(ports.readyPort),
        directory: at(ports.directoryPort),
        control: at(ports.controlPort),
      },
      limits: { 'cpu-share': 0.675, cores: 1, 'memory-mb': 350, 'file-descriptors': 4100 },
      bounds: { ...BOUNDS, ...bounds },
      platform: { address: at(ports.storePort), 'value-bytes': 1_048_576 },
    });
    // All machines of the sheet have the same port for metrics, but here they share one address.
    const withMetrics = rendered.replace(`${HOST}:9464`, at(ports.metrics));
    return withMetrics.replace('gateway:\n', () => ['gateway:', ...extraSettings, ''].join('\n'));
  }
}
