import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream, type WriteStream } from 'node:fs';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import net from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { PlatformStandIn } from './platform.ts';
import { call } from './servers.ts';
import { renderTemplate } from './template.ts';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));

/** The program of the deploy file that serves clients, without the path of its settings. */
const COMMAND = ['--max-old-space-size=220', 'target/hyssoppulley.cjs', 'node', '--config'];

const ZONES = ['worcester', 'providence', 'portland'];

/** Ports of a node, which are the same on all machines. */
const PORT_NAMES = ['front', 'ready', 'control', 'directory', 'datagrams'] as const;

type Ports = Readonly<Record<(typeof PORT_NAMES)[number], number>>;

/** A `front` machine with its process. */
export interface Machine {
  readonly name: string;
  readonly ip: string;
  readonly file: string;
  child: ChildProcess | undefined;
}

const isFree = async (port: number, host: string): Promise<boolean> => {
  const server = net.createServer();
  try {
    server.listen(port, host);
    await once(server, 'listening');
    return true;
  } catch {
    return false;
  } finally {
    server.close();
  }
};

/** A small deployment: `front` machines as real processes, each with a loopback address of its own, and a stand-in platform. */
export class Deployment implements AsyncDisposable {
  readonly platform = new PlatformStandIn();

  readonly machines: Machine[] = [];

  readonly #record: WriteStream;

  readonly #startedMs = performance.now();

  #folder = '';

  #ports: Ports = { front: 0, ready: 0, control: 0, directory: 0, datagrams: 0 };

  #platformAddress = '';

  /** Second and third number of the loopback addresses, so that scripts that run beside each other share none. */
  readonly #network = `127.${20 + (process.pid % 200)}.${Math.floor(process.pid / 200) % 250}`;

  #isEnding = false;

  /** @param folder - folder of the case, which gets `record.txt` */
  constructor(folder: string) {
    this.#record = createWriteStream(path.join(folder, 'record.txt'));
    // A script that is stopped leaves no process behind.
    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      process.once(signal, () => {
        this.#isEnding = true;
        for (const { child } of this.machines) child?.kill('SIGKILL');
        process.exitCode = 2;
        process.kill(process.pid, 'SIGKILL');
      });
    }
  }

  /** Time since the start, in ms. */
  get nowMs(): number {
    return performance.now() - this.#startedMs;
  }

  /** Writes a line of the record. */
  record(text: string): void {
    const line = `${(this.nowMs / 1000).toFixed(2).padStart(7)} ${text}\n`;
    this.#record.write(line);
    process.stdout.write(line);
  }

  /** A loopback address that no machine has. */
  host(number: number): string {
    return `${this.#network}.${number}`;
  }

  front({ ip }: Machine): string {
    return `${ip}:${this.#ports.front}`;
  }

  async start(machineCount: number): Promise<void> {
    this.#folder = await mkdtemp(path.join(tmpdir(), 'review-3-'));
    this.#platformAddress = await this.platform.listen(this.host(200));
    this.#ports = await this.#choosePorts();
    for (let number = 1; number <= machineCount; number += 1) {
      const name = `front-${ZONES[number % 3]}-${number}`;
      const file = path.join(this.#folder, `${name}.yaml`);
      this.machines.push({ ...{ name, ip: this.host(number), file }, child: undefined });
    }
    const template = await readFile(path.join(ROOT, 'deploy/entry.yaml'), 'utf8');
    for (const [index, machine] of this.machines.entries()) {
      const fields = this.#fields(machine, ZONES[(index + 1) % 3] ?? '');
      await writeFile(machine.file, renderTemplate(template, fields));
    }
    for (const machine of this.machines) this.startMachine(machine);
    await Promise.all(this.machines.map((machine) => this.untilReady(machine)));
    this.record(`${machineCount} machines are ready`);
  }

  /** Starts the process of a machine. It is started again when it ends by itself, as on the platform. */
  startMachine(machine: Machine): void {
    const child = spawn(path.join(ROOT, 'target/node'), [...COMMAND, machine.file], {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HYSSOPPULLEY_CONFIG: machine.file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    Object.assign(machine, { child });
    const logFolder = process.env.LOGS;
    const log =
      logFolder === undefined
        ? undefined
        : createWriteStream(path.join(logFolder, machine.name), { flags: 'a' });
    for (const output of [child.stdout, child.stderr]) {
      output.on('data', (chunk: Buffer) => log?.write(chunk));
    }
    child.once('exit', (code, signal) => {
      if (this.#isEnding) return;
      this.record(`${machine.name}: the process has ended, code ${code}, signal ${signal}`);
      void sleep(500).then(() => {
        if (this.#isEnding || machine.child !== child) return;
        this.record(`${machine.name}: the process is started again`);
        this.startMachine(machine);
      });
    });
  }

  async untilReady({ ip, name }: Machine): Promise<void> {
    for (let tries = 0; tries < 100; tries += 1) {
      const answer = await call(`${ip}:${this.#ports.ready}`, '/ready', { timeoutMs: 1000 });
      if (answer?.statusCode === 200) return;
      await sleep(200);
    }
    throw new Error(`${name} is not ready`);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#isEnding = true;
    const children = this.machines.flatMap(({ child }) => child ?? []);
    for (const child of children) child.kill('SIGKILL');
    await Promise.all(
      children.map((child) =>
        child.exitCode === null && child.signalCode === null ? once(child, 'exit') : undefined,
      ),
    );
    this.platform.close();
    this.#record.end();
    await once(this.#record, 'close');
    await rm(this.#folder, { recursive: true, force: true });
  }

  async #choosePorts(): Promise<Ports> {
    for (;;) {
      const first = 10_000 + Math.floor(Math.random() * 20_000);
      const ports = PORT_NAMES.map((_, index) => first + index);
      const checks = await Promise.all(ports.map((port) => isFree(port, this.host(1))));
      const [front = 0, ready = 0, control = 0, directory = 0, datagrams = 0] = ports;
      if (checks.every(Boolean)) return { front, ready, control, directory, datagrams };
    }
  }

  /** The fields of DEPLOY.md, with the values of the sheet of tvf-quotes. */
  #fields({ name, ip }: Machine, zone: string): unknown {
    const { front, ready, control, directory, datagrams } = this.#ports;
    return {
      ...{ 'node-name': name, zone, region: 'new-england', ip },
      'internal-port-range': [datagrams, datagrams],
      seeds: this.machines.slice(0, 3).map((machine) => `${machine.ip}:${control}`),
      listen: {
        ...{ front: `${ip}:${front}`, ready: `${ip}:${ready}` },
        ...{ control: `${ip}:${control}`, directory: `${ip}:${directory}` },
      },
      limits: { 'cpu-share': 0.675, cores: 1, 'memory-mb': 350, 'file-descriptors': 4100 },
      bounds: {
        ...{ 'grace-s': 8, 'status-s': 120, 'lease-ms': 3000, 'fencing-required': true },
      },
      platform: { address: this.#platformAddress, 'value-bytes': 1_048_576 },
    };
  }
}
