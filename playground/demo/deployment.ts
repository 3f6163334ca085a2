import { execFile } from 'node:child_process';
import { readdir, readFile, writeFile } from 'node:fs/promises';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import { parse } from 'yaml';
import type { ProcessGroup, StartedProcess } from '../processes.ts';

const execFileAsync = promisify(execFile);
const EXAMPLES_FOLDER = fileURLToPath(new URL('../../examples/', import.meta.url));

/** Shorter than the default settings, so that a planned stop and a takeover fit into the demo. */
const DEMO_TIMING = {
  heartbeatIntervalMs: 500,
  suspectAfterMs: 1500,
  isolationMs: 3000,
  isolationMarginMs: 1000,
  headPollIntervalMs: 1000,
  vmListIntervalMs: 2000,
  entriesTtlMs: 1500,
  leaseTtlMs: 4500,
  leaseRenewIntervalMs: 1500,
  leaseMarginMs: 1000,
  drainDeadlineMs: 30_000,
};

interface ExampleTables {
  routes: { name: string; timeoutMs?: number; job?: { name: string } }[];
  pools: { name: string; protocol: string; workers?: { name: string; address: string }[] }[];
}

export interface DemoNode {
  readonly name: string;
  readonly process: StartedProcess;
  readonly callerPort: number;
  readonly peerPort: number;
}

/** One of the example deployments, with its tables and with its stand-ins and nodes as processes. */
export class Deployment {
  readonly name: string;

  readonly #group: ProcessGroup;

  #tables: ExampleTables = { routes: [], pools: [] };

  platform = '';

  trainer = '';

  readonly services: string[] = [];

  readonly nodes: DemoNode[] = [];

  constructor(name: string, group: ProcessGroup) {
    this.name = name;
    this.#group = group;
  }

  get job(): string {
    return this.#tables.routes.find((route) => route.job)?.job?.name ?? '';
  }

  get entries(): string[] {
    return this.nodes.map(({ callerPort }) => `127.0.0.1:${callerPort}`);
  }

  /**
   * Starts the stand-ins and nodes and applies the example's tables with the addresses of the stand-ins. Returns the
   * last line that the command printed.
   */
  async start(): Promise<string> {
    const folder = path.join(EXAMPLES_FOLDER, this.name);
    this.#tables = parse(await readFile(path.join(folder, 'tables.yaml'), 'utf8')) as ExampleTables;
    this.platform = (await this.#group.startStandIn('platform')).address;
    this.trainer = (await this.#group.startStandIn('trainer')).address;
    await Promise.all(this.#tables.pools.map((pool) => this.#startWorkers(pool)));
    const files = (await readdir(folder)).filter((file) => file.startsWith('node-')).sort();
    const settings = await Promise.all(
      files.map(async (file) => parse(await readFile(path.join(folder, file), 'utf8'))),
    );
    const started = await Promise.all(
      settings.map((node) => this.#startNode(node as Record<string, unknown>)),
    );
    this.nodes.push(...started);
    return this.apply();
  }

  /**
   * Applies the tables to the nodes that are running. `timeoutMs`, when given, replaces the timeout of every route.
   * Returns the last line that the command printed.
   */
  async apply(timeoutMs?: number): Promise<string> {
    for (const route of this.#tables.routes) if (timeoutMs) route.timeoutMs = timeoutMs;
    const file = path.join(await this.#group.temporaryFolder(), `${this.name}-tables.yaml`);
    await writeFile(file, JSON.stringify(this.#tables));
    const nodes = this.nodes
      .filter(({ process }) => process.child.exitCode === null && !process.child.killed)
      .flatMap(({ peerPort }) => ['--node', `127.0.0.1:${peerPort}`]);
    try {
      const { stdout } = await execFileAsync(
        process.execPath,
        ['--import', 'tsx', 'src/node/cli.ts', 'apply', '-f', file, ...nodes],
        { cwd: fileURLToPath(new URL('../../', import.meta.url)) },
      );
      return stdout.trim().split('\n').at(-1) ?? '';
    } catch (error) {
      return (error as { stderr: string }).stderr.trim().split('\n').at(-1) ?? '';
    }
  }

  /** Number of runs of each service request by its run ID, over all workers. */
  async serviceRuns(): Promise<Map<string, number>> {
    const runs = new Map<string, number>();
    for (const address of this.services) {
      const response = await fetch(`http://${address}/control/runs`);
      for (const [id, count] of Object.entries((await response.json()) as Record<string, number>)) {
        runs.set(id, (runs.get(id) ?? 0) + count);
      }
    }
    return runs;
  }

  async #startNode(settings: Record<string, unknown>): Promise<DemoNode> {
    const node = await this.#group.startNode({
      ...settings,
      host: '127.0.0.1',
      callerPort: 0,
      peerPort: 0,
      dataFolder: undefined,
      platform: { url: `http://${this.platform}` },
      log: { level: 'info' },
      trace: undefined,
      timing: DEMO_TIMING,
    });
    return { name: String(settings.name), ...node };
  }

  async #startWorkers(pool: ExampleTables['pools'][number]): Promise<void> {
    const isEngine = pool.protocol === 'model-engine';
    const kind = pool.name.includes('scor') ? 'scorer' : 'service';
    const workers = await Promise.all(
      (pool.workers ?? []).map(async (worker) => ({
        worker,
        address: (await this.#group.startStandIn(isEngine ? 'engine' : kind)).address,
      })),
    );
    for (const { worker, address } of workers) {
      worker.address = address;
      if (!isEngine && kind === 'service') this.services.push(address);
    }
  }
}
