import { execFile } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { promisify } from 'node:util';
import { ProcessGroup, type StartedProcess } from '../processes.ts';

const execFileAsync = promisify(execFile);

export interface TestbedNode {
  readonly name: string;
  readonly process: StartedProcess;
  readonly callerPort: number;
  readonly peerPort: number;
}

export interface TestbedOptions {
  readonly nodes: number;
  readonly groups: number;
  readonly samplesPerGroup: number;
  readonly steps: number;
  /** Timing settings of each node. */
  readonly timing?: Record<string, number>;
  readonly engineFaults?: Record<string, unknown>;
}

export interface TrainerReport {
  readonly voids: number;
  readonly refused: number;
  readonly received: readonly {
    readonly stepId: string;
    readonly ordinal: number;
    readonly position: number;
    readonly scores: Record<string, number>;
    readonly ranges: readonly { readonly weightVersion: number }[];
  }[];
}

const POLL_MS = 50;

const JOB = 'draft';

/** Polls `get` until `accepts` returns true for its value. Polls because the state is in other processes. */
export const waitFor = async <T>(
  condition: string,
  get: () => Promise<T>,
  accepts: (value: T) => boolean,
  timeoutMs = 60_000,
): Promise<T> => {
  const timeout = AbortSignal.timeout(timeoutMs);
  for (;;) {
    const value = await get();
    if (accepts(value)) return value;
    if (timeout.aborted) throw new Error(`${condition}: not reached within ${timeoutMs} ms`);
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
  }
};

/** Starts the platform, engines, scorer, trainer and nodes of a training test, each in a process of its own. */
export class TrainingTestbed implements AsyncDisposable {
  readonly #group = new ProcessGroup();

  readonly #options: TestbedOptions;

  readonly nodes: TestbedNode[] = [];

  #platform = '';

  #engines: readonly string[] = [];

  #trainer = '';

  #folder = '';

  private constructor(options: TestbedOptions) {
    this.#options = options;
  }

  static async start(options: TestbedOptions): Promise<TrainingTestbed> {
    const started = new TrainingTestbed(options);
    try {
      await started.#start();
      return started;
    } catch (error) {
      await started[Symbol.asyncDispose]();
      throw error;
    }
  }

  /** Total number of samples that the trainer must receive. */
  get expectedSamples(): number {
    const { steps, groups, samplesPerGroup } = this.#options;
    return steps * groups * samplesPerGroup;
  }

  async setFaults(target: 'platform' | 'trainer', faults: Record<string, unknown>): Promise<void> {
    const address = target === 'platform' ? this.#platform : this.#trainer;
    await fetch(`http://${address}/control/faults`, {
      method: 'PUT',
      body: JSON.stringify(faults),
    });
  }

  /** Makes the trainer submit all steps and pull samples. */
  async startTraining(callTimeoutMs = 3000): Promise<void> {
    const { steps, groups, samplesPerGroup } = this.#options;
    const numbers = (count: number) => Array.from({ length: count }, (_, index) => index);
    const body = {
      entries: this.nodes.map(({ callerPort }) => `127.0.0.1:${callerPort}`),
      job: JOB,
      steps: numbers(steps).map((step) => ({
        stepId: `step-${step}`,
        groups: numbers(groups).map((group) => ({
          groupId: `group-${group}`,
          prompt: `quote ${group} of step ${step}`,
        })),
      })),
      samplesPerGroup,
      maxTokens: 8,
      callTimeoutMs,
    };
    await fetch(`http://${this.#trainer}/control/run`, {
      method: 'PUT',
      body: JSON.stringify(body),
    });
  }

  async trainerReport(): Promise<TrainerReport> {
    const response = await fetch(`http://${this.#trainer}/control/received`);
    return (await response.json()) as TrainerReport;
  }

  /** Waits until the trainer has received at least `count` samples. */
  waitForSamples(count: number, timeoutMs?: number): Promise<TrainerReport> {
    return waitFor(
      `${count} samples`,
      () => this.trainerReport(),
      ({ received }) => received.length >= count,
      timeoutMs,
    );
  }

  /** Requests the state of the job from each node. Returns the status codes. */
  jobStateStatuses(): Promise<number[]> {
    return Promise.all(
      this.nodes.map(async ({ callerPort }) => {
        const response = await fetch(`http://127.0.0.1:${callerPort}/v1/jobs/${JOB}`);
        await response.arrayBuffer();
        return response.status;
      }),
    );
  }

  /** Publishes a weight version through the first node. Returns the status code. */
  async publishWeights(version: number): Promise<number> {
    const { callerPort } = this.nodes[0] ?? {};
    const response = await fetch(`http://127.0.0.1:${callerPort}/v1/jobs/${JOB}/weights`, {
      method: 'POST',
      body: JSON.stringify({ version, uri: `weights/draft-model/${version}` }),
    });
    await response.arrayBuffer();
    return response.status;
  }

  /** Returns the weight version that each engine reports. */
  engineVersions(): Promise<number[]> {
    return Promise.all(
      this.#engines.map(async (address) => {
        const response = await fetch(`http://${address}/v1/load`);
        return ((await response.json()) as { weight_version: number }).weight_version;
      }),
    );
  }

  /** Returns the node that holds the job's lease according to the platform; waits until there is one. */
  async findOwner(): Promise<TestbedNode> {
    const holder = await waitFor(
      'an owner',
      async () => {
        const response = await fetch(`http://${this.#platform}/objects/leases/job.${JOB}`);
        const { spec } = (await response.json()) as { spec?: { value: { holder: string } } };
        return spec?.value.holder ?? '';
      },
      (name) => name !== '',
    );
    const node = this.nodes.find(({ name }) => name === holder);
    if (!node) throw new Error(`lease is held by unknown node ${holder}`);
    return node;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#group[Symbol.asyncDispose]();
    if (this.#folder) await rm(this.#folder, { recursive: true, force: true });
  }

  async #start(): Promise<void> {
    const names = ['platform', 'trainer', 'scorer', 'engine', 'engine'];
    const standIns = await Promise.all(names.map((name) => this.#group.startStandIn(name)));
    const [platform = '', trainer = '', scorer = '', ...engines] = standIns.map(
      ({ address }) => address,
    );
    this.#platform = platform;
    this.#trainer = trainer;
    this.#engines = engines;
    const { engineFaults = {}, nodes, timing } = this.#options;
    for (const engine of engines) {
      await fetch(`http://${engine}/control/faults`, {
        method: 'PUT',
        body: JSON.stringify(engineFaults),
      });
    }
    const settings = Array.from({ length: nodes }, (_, index) => ({
      name: `entry-${index}`,
      region: 'new-england',
      availabilityZone: 'worcester',
      callerPort: 0,
      peerPort: 0,
      platform: { url: `http://${platform}` },
      timing,
    }));
    const started = await Promise.all(settings.map((each) => this.#group.startNode(each)));
    started.forEach((node, index) => this.nodes.push({ ...node, name: `entry-${index}` }));
    await this.#applyTables(engines, scorer);
  }

  async #applyTables(engines: readonly string[], scorer: string): Promise<void> {
    this.#folder = await mkdtemp(path.join(tmpdir(), 'hyssoppulley-'));
    const file = path.join(this.#folder, 'tables.yaml');
    const worker = (address: string, index: number) => ({ name: `worker-${index}`, address });
    const tables = {
      routes: [
        {
          name: 'train',
          match: {},
          pool: 'draft-model',
          job: { name: JOB, scorerPool: 'scorers' },
        },
      ],
      pools: [
        { name: 'draft-model', protocol: 'model-engine', workers: engines.map(worker) },
        { name: 'scorers', protocol: 'plain-service', workers: [worker(scorer, 9)] },
      ],
    };
    await writeFile(file, JSON.stringify(tables));
    const node = `127.0.0.1:${this.nodes[0]?.peerPort}`;
    const args = ['--import', 'tsx', 'src/node/cli.ts', 'apply', '-f', file, '--node', node];
    await execFileAsync(process.execPath, args);
  }
}
