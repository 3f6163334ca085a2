import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import net, { type AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { createInterface } from 'node:readline';
import { test } from 'node:test';
import { expect } from 'earl';
import { seededRandom } from '../../../src/shared/random.ts';
import { PortBlock } from '../../faultSoak/portBlock.ts';
import { startPlatform } from '../../standIns/platform.ts';

const SEED = 20261207;

const SIGNALS = 6;

/** Longest time between two signals, in ms. */
const MAX_GAP_MS = 400;

/** What the platform does while a process starts. */
type Mode = 'silent' | 'rejecting' | 'open';

const REJECTION = 'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n';

/** A platform that can be silent, or reject calls, before it answers. */
const startGate = async () => {
  const platform = await startPlatform();
  const [host, port] = platform.address.split(':');
  const sockets = new Set<net.Socket>();
  const state = { mode: 'silent' as Mode };
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    if (state.mode === 'open') {
      const upstream = net.connect(Number(port), host);
      upstream.on('error', () => socket.destroy());
      socket.on('close', () => upstream.destroy());
      socket.pipe(upstream).pipe(socket);
    } else {
      socket.on('data', () => {
        if (state.mode === 'rejecting') socket.write(REJECTION);
      });
    }
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return {
    state,
    port: (server.address() as AddressInfo).port,
    firstCall: once(server, 'connection'),
    open: () => {
      state.mode = 'open';
      for (const socket of sockets) socket.destroy();
    },
    close: () => {
      for (const socket of sockets) socket.destroy();
      for (const each of [server, platform.server]) each.close();
    },
  };
};

const pause = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

interface Started {
  readonly child: ChildProcess;
  readonly lines: string[];
  readonly gate: Awaited<ReturnType<typeof startGate>>;
}

/** Starts a command of the program, whose first call to the platform has been made when `check` begins. */
const withStarting = async (
  command: 'node' | 'storage',
  mode: Mode,
  check: (started: Started) => Promise<void>,
): Promise<void> => {
  const gate = await startGate();
  gate.state.mode = mode;
  await using ports = new PortBlock();
  await ports.reserve();
  const [front, ready, directory, peer] = await ports.take(4);
  const folder = await mkdtemp(path.join(tmpdir(), 'hyssoppulley-'));
  const file = path.join(folder, 'node.yaml');
  const gateway = {
    ...{ frontAddress: `127.0.0.1:${front}`, readyAddress: `127.0.0.1:${ready}` },
    ...{ directoryAddress: `127.0.0.1:${directory}`, peerAddress: `127.0.0.1:${peer}` },
    // Short, so that a planned stop takes little time.
    graceMs: 3000,
  };
  await writeFile(
    file,
    JSON.stringify({
      ...{ name: 'n', region: 'r', availabilityZone: 'z', host: '127.0.0.1' },
      platform: { url: `http://127.0.0.1:${gate.port}`, timeoutMs: 1200 },
      gateway: command === 'node' ? gateway : undefined,
    }),
  );
  const args = ['--import', 'tsx', 'src/node/cli.ts', command, '--config', file];
  const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'inherit'] });
  const lines: string[] = [];
  createInterface(child.stdout).on('line', (line) => lines.push(line));
  try {
    await gate.firstCall;
    await check({ child, lines, gate });
  } finally {
    child.kill('SIGKILL');
    gate.close();
    await rm(folder, { recursive: true, force: true });
  }
};

const isAlive = ({ exitCode, signalCode }: ChildProcess) =>
  exitCode === null && signalCode === null;

const until = async (condition: () => boolean) => {
  while (!condition()) await pause(20);
};

for (const command of ['node', 'storage'] as const) {
  for (const mode of ['silent', 'rejecting', 'open'] as const) {
    const random = seededRandom(SEED + command.length + mode.length);
    const options = { timeout: 60_000 };

    // Guards against processes that a change of their settings ends while they start (review/9: code 129 in an outage).
    test(`${command}: changes of settings while the platform is ${mode}`, options, async () => {
      await withStarting(command, mode, async ({ child, lines, gate }) => {
        for (let signal = 0; signal < SIGNALS; signal += 1) {
          child.kill('SIGHUP');
          await pause(random() * MAX_GAP_MS);
        }
        expect(isAlive(child)).toEqual(true);
        gate.open();
        await until(() => lines.some((line) => line.includes('event=node-started')));
        await until(() => lines.some((line) => line.includes('event=settings-reloaded')));
        child.kill('SIGTERM');
        const [exitCode] = (await once(child, 'exit')) as [number | null];
        expect(exitCode).toEqual(0);
      });
    });

    // Guards against a stop that is lost during the start, or that ends the process without order, also when it is repeated.
    test(`${command}: stops while the platform is ${mode}`, options, async () => {
      await withStarting(command, mode, async ({ child, lines }) => {
        await pause(random() * MAX_GAP_MS);
        const exit = once(child, 'exit') as Promise<[number | null, NodeJS.Signals | null]>;
        for (let signal = 0; signal < SIGNALS && isAlive(child); signal += 1) {
          child.kill(signal % 2 === 0 ? 'SIGTERM' : 'SIGHUP');
          await pause(random() * MAX_GAP_MS);
        }
        const [exitCode, signalCode] = await exit;
        expect({ signalCode, isInOrder: exitCode === 0 || exitCode === 1 }).toEqual({
          ...{ signalCode: null, isInOrder: true },
        });
        const forced = lines.filter((line) => line.includes('reason=second-signal'));
        expect(forced).toEqual([]);
      });
    });
  }
}
