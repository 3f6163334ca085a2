import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

const ROOT = fileURLToPath(new URL('..', import.meta.url));

/** Lines of a process's output that are kept. */
const MAX_KEPT_LINES = 2000;

/** A process that a test or the demo started. */
export interface StartedProcess {
  readonly child: ChildProcess;
  /** First line of its output that `ready` accepted. */
  readonly firstLine: string;
  /** Lines of its output so far, the newest last; at most `MAX_KEPT_LINES`. */
  readonly lines: string[];
}

/** Starts and ends the processes of one test or demo run. */
export class ProcessGroup implements AsyncDisposable {
  readonly #children = new Set<ChildProcess>();

  #folder: Promise<string> | undefined;

  /** Starts a TypeScript file and waits until a line of its output satisfies `ready`. */
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
    const firstLine = await new Promise<string>((resolve, reject) => {
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
          if (lines.length > MAX_KEPT_LINES) lines.shift();
          onLine(line);
        });
      }
      child.once('exit', (code) => {
        clearTimeout(timer);
        reject(new Error(`${file} ended with code ${code}\n${lines.join('\n')}`));
      });
    });
    return { child, firstLine, lines };
  }

  /** Starts a stand-in. Returns its address. */
  async standIn(name: string): Promise<{ process: StartedProcess; address: string }> {
    const started = await this.start(`playground/standIns/${name}.ts`, []);
    return { process: started, address: started.firstLine };
  }

  /** A folder for the files of this run, removed at the end. */
  folder(): Promise<string> {
    this.#folder ??= mkdtemp(path.join(tmpdir(), 'hyssoppulley-'));
    return this.#folder;
  }

  /** Starts a node from settings given as an object. JSON is YAML. */
  async node(
    settings: Record<string, unknown>,
  ): Promise<{ process: StartedProcess; callerPort: number; peerPort: number }> {
    const file = path.join(await this.folder(), `${String(settings.name)}.yaml`);
    await writeFile(file, JSON.stringify(settings));
    const started = await this.start('src/node/cli.ts', ['node', '--config', file], (line) =>
      line.includes('event=node-started'),
    );
    const port = (name: string) =>
      Number(new RegExp(`${name}=(\\d+)`).exec(started.firstLine)?.[1] ?? 0);
    return { process: started, callerPort: port('callerPort'), peerPort: port('peerPort') };
  }

  /** Ends every process that is still running. */
  async [Symbol.asyncDispose](): Promise<void> {
    const exits = [...this.#children].map((child) => once(child, 'exit'));
    for (const child of this.#children) child.kill('SIGKILL');
    await Promise.all(exits);
    if (this.#folder) await rm(await this.#folder, { recursive: true, force: true });
  }
}
