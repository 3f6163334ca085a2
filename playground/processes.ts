import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream } from 'node:fs';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

const ROOT = fileURLToPath(new URL('..', import.meta.url));

/** Maximum number of output lines kept for a process. */
const MAX_KEPT_LINES = 2000;

/** Folder in which the complete output of each process is kept, named after its process id. @default not kept */
const OUTPUT_FOLDER = process.env.PLAYGROUND_OUTPUT_FOLDER;

/** A process that a test or the demo started. */
export interface StartedProcess {
  readonly child: ChildProcess;
  /** First output line that `ready` accepted. */
  readonly readyLine: string;
  /** Last `MAX_KEPT_LINES` lines of its standard output and standard error so far, in order of arrival. */
  readonly lines: string[];
}

/** Starts the processes of one test or demo run and kills them at the end. */
export class ProcessGroup implements AsyncDisposable {
  readonly #children = new Set<ChildProcess>();

  #folder: Promise<string> | undefined;

  /** Runs a TypeScript file in a process of its own and waits until a line of its output satisfies `ready`. */
  async start(
    file: string,
    args: readonly string[],
    ready: (line: string) => boolean = () => true,
    timeoutMs = 20_000,
  ): Promise<StartedProcess> {
    const child = spawn(process.execPath, ['--import', 'tsx', path.join(ROOT, file), ...args], {
      cwd: ROOT,
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.#children.add(child);
    child.once('exit', () => this.#children.delete(child));
    const lines: string[] = [];
    const outputFile =
      OUTPUT_FOLDER === undefined
        ? undefined
        : createWriteStream(path.join(OUTPUT_FOLDER, `${path.basename(file)}-${child.pid}.log`));
    child.once('exit', () => outputFile?.end());
    const readyLine = await new Promise<string>((resolve, reject) => {
      const timer = setTimeout(
        () =>
          reject(new Error(`${file} was not ready within ${timeoutMs} ms\n${lines.join('\n')}`)),
        timeoutMs,
      );
      const onLine = (line: string) => {
        if (!ready(line)) return;
        clearTimeout(timer);
        resolve(line);
      };
      for (const output of [child.stdout, child.stderr]) {
        createInterface(output).on('line', (line) => {
          lines.push(line);
          if (outputFile?.writable) outputFile.write(`${line}\n`);
          if (lines.length > MAX_KEPT_LINES) lines.shift();
          onLine(line);
        });
      }
      child.once('exit', (code) => {
        clearTimeout(timer);
        reject(
          new Error(`${file} exited with code ${code} before it was ready\n${lines.join('\n')}`),
        );
      });
    });
    return { child, readyLine, lines };
  }

  /** Starts the stand-in of this file name and returns its address. */
  async startStandIn(name: string): Promise<{ process: StartedProcess; address: string }> {
    const started = await this.start(`playground/standIns/${name}.ts`, []);
    return { process: started, address: started.readyLine };
  }

  /** Temporary folder for the files of this run; deleted at the end. */
  temporaryFolder(): Promise<string> {
    this.#folder ??= mkdtemp(path.join(tmpdir(), 'hyssoppulley-'));
    return this.#folder;
  }

  /** Starts a node from settings given as an object, written to its YAML file as JSON, which is valid YAML. */
  async startNode(
    settings: Record<string, unknown>,
  ): Promise<{ process: StartedProcess; callerPort: number; peerPort: number }> {
    const file = path.join(await this.temporaryFolder(), `${String(settings.name)}.yaml`);
    await writeFile(file, JSON.stringify(settings));
    const started = await this.start('src/node/cli.ts', ['node', '--config', file], (line) =>
      line.includes('event=node-started'),
    );
    const port = (name: string) =>
      Number(new RegExp(`${name}=(\\d+)`).exec(started.readyLine)?.[1] ?? 0);
    return { process: started, callerPort: port('callerPort'), peerPort: port('peerPort') };
  }

  /** Kills every process that is still running and deletes the temporary folder. */
  async [Symbol.asyncDispose](): Promise<void> {
    const exits = [...this.#children].map((child) => once(child, 'exit'));
    for (const child of this.#children) child.kill('SIGKILL');
    await Promise.all(exits);
    if (this.#folder) await rm(await this.#folder, { recursive: true, force: true });
  }
}
