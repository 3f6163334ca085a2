import { once } from 'node:events';
import type { Random } from '../../src/shared/random.ts';
import type { ProxyFault } from './faultProxy.ts';
import type { SoakDeployment, SoakNode } from './soakDeployment.ts';
import type { ResponseFault } from './soakWorker.ts';
import { endWorker, type WorkerEnd } from './soakWorkerEnds.ts';
import { sleepMs } from '../standIns/standInServer.ts';

/** One fault of a schedule; several may overlap. */
export interface SoakFault {
  readonly kind:
    | ('kill' | 'pause' | 'stop' | 'hangup')
    | ('path' | 'worker' | 'answers' | 'platform' | 'tables');
  readonly startMs: number;
  readonly durationMs: number;
  /** Index of the node or worker, modulo their number. */
  readonly targetIndex: number;
  readonly variant: number;
}

const KINDS: readonly SoakFault['kind'][] = [
  ...(['kill', 'pause', 'stop', 'hangup'] as const),
  ...(['path', 'worker', 'answers', 'platform', 'tables'] as const),
];

const RESPONSE_FAULTS: readonly ResponseFault[] = ['lost', 'half', 'extra', 'failed'];

const PROXY_FAULTS: readonly ProxyFault[] = ['delay', 'silent', 'one-way', 'reset'];

const PLATFORM_FAULTS: readonly object[] = [
  { outage: true },
  { silent: true },
  { latencyMs: 200 },
  { loseNextAnswers: 3 },
];

/** Number of signals of a series that tells a node to read its settings again. */
const HANGUPS = 3;

/** Timeout of a planned stop, in ms: longer than the nodes' `graceMs`. */
const STOP_TIMEOUT_MS = 7000;

/** Time after a fault in which the nodes may still be recovering from it, in ms. */
const CALM_AFTER_MS = 3000;

/** Draws a schedule of consecutive faults, some of which overlap. */
export const drawFaults = (random: Random, durationMs: number): SoakFault[] => {
  const faults: SoakFault[] = [];
  for (let startMs = 500; startMs < durationMs; startMs += 200 + random() * 1800) {
    faults.push({
      kind: KINDS[Math.floor(random() * KINDS.length)] ?? 'kill',
      startMs,
      durationMs: 300 + random() * 2500,
      targetIndex: Math.floor(random() * 4),
      variant: Math.floor(random() * 4),
    });
  }
  return faults;
};

/** Injects faults from outside the processes: by signals, by proxies and by the faults of workers and the platform. */
export class FaultInjector {
  readonly #deployment: SoakDeployment;

  /** Number of faults in progress. Planned work is none: new tables, and a node that is told to read its settings again. */
  #activeCount = 0;

  /** When the last fault began or ended, in ms. */
  #lastFaultMs = 0;

  /** Nodes in a planned stop during which no other fault has begun. */
  readonly stoppingNodes = new Set<string>();

  /** Nodes whose process is being paused, stopped or restarted by a fault. */
  readonly #busyNodes = new Set<SoakNode>();

  constructor(deployment: SoakDeployment) {
    this.#deployment = deployment;
  }

  /** Whether no fault is in progress or has ended shortly before. */
  get isCalm(): boolean {
    return this.#activeCount === 0 && performance.now() - this.#lastFaultMs > CALM_AFTER_MS;
  }

  /** Runs a schedule. Resolves when every fault has ended and every node runs. */
  async run(faults: readonly SoakFault[], ends: readonly WorkerEnd[]): Promise<void> {
    await Promise.all([
      ...faults.map(async (fault) => {
        await sleepMs(fault.startMs);
        if (fault.kind === 'hangup' || fault.kind === 'tables') await this.#inject(fault);
        else await this.#track(() => this.#inject(fault));
      }),
      ...ends.map(async (end) => {
        await sleepMs(end.startMs);
        this.stoppingNodes.clear();
        await this.#track(() => endWorker(this.#deployment, end));
      }),
    ]);
    const { nodes, workers, workerProxies } = this.#deployment;
    await this.#deployment.setPlatformFaults({});
    for (const proxy of workerProxies) proxy.setFault('none');
    for (const worker of workers) worker.responseFault = 'none';
    for (const node of nodes) {
      node.platformProxy.setFault('none');
      node.process?.child.kill('SIGCONT');
      if (node.process === undefined) await this.#deployment.startNode(node);
    }
    this.#lastFaultMs = performance.now();
  }

  async #track(fault: () => Promise<void>): Promise<void> {
    this.#activeCount += 1;
    this.#lastFaultMs = performance.now();
    await fault();
    this.#activeCount -= 1;
    this.#lastFaultMs = performance.now();
  }

  async #inject({ kind, durationMs, targetIndex, variant }: SoakFault): Promise<void> {
    const { nodes, workers, workerProxies } = this.#deployment;
    const node = nodes[targetIndex % nodes.length];
    const fault = PROXY_FAULTS[variant] ?? 'delay';
    // With a concurrent fault of a process, a connection or the platform, a planned stop may have to abort requests.
    if (kind !== 'hangup' && kind !== 'tables' && kind !== 'stop') this.stoppingNodes.clear();
    if (kind === 'tables') await this.#deployment.writeTables();
    else if (kind === 'platform') {
      await this.#deployment.setPlatformFaults(PLATFORM_FAULTS[variant] ?? {});
      await sleepMs(durationMs);
      await this.#deployment.setPlatformFaults({});
    } else if (kind === 'worker') {
      const proxy = workerProxies[targetIndex % workerProxies.length];
      proxy?.setFault(fault);
      await sleepMs(durationMs);
      proxy?.setFault('none');
    } else if (kind === 'answers') {
      for (const worker of workers) worker.responseFault = RESPONSE_FAULTS[variant] ?? 'lost';
      await sleepMs(durationMs);
      for (const worker of workers) worker.responseFault = 'none';
    } else if (node !== undefined && kind === 'path') {
      node.platformProxy.setFault(fault);
      await sleepMs(durationMs);
      node.platformProxy.setFault('none');
    } else if (node !== undefined) await this.#signalNode(node, kind, durationMs);
  }

  async #signalNode(node: SoakNode, kind: SoakFault['kind'], durationMs: number): Promise<void> {
    const child = node.process?.child;
    if (child === undefined) return;
    // A node may get any number of these, also while it is paused or stops.
    for (let sent = 0; kind === 'hangup' && sent < HANGUPS; sent += 1) {
      child.kill('SIGHUP');
      await sleepMs(durationMs / HANGUPS);
    }
    if (kind === 'hangup' || this.#busyNodes.has(node)) return;
    this.#busyNodes.add(node);
    if (kind === 'pause') {
      child.kill('SIGSTOP');
      await sleepMs(durationMs);
      child.kill('SIGCONT');
    } else {
      const exit = once(child, 'exit');
      if (kind === 'stop') await this.#stopNode(node, exit);
      child.kill('SIGKILL');
      await exit;
      await sleepMs(durationMs / 4);
      await this.#deployment.startNode(node);
    }
    this.#busyNodes.delete(node);
  }

  async #stopNode(node: SoakNode, exit: Promise<unknown>): Promise<void> {
    this.stoppingNodes.add(node.name);
    node.process?.child.kill('SIGTERM');
    await Promise.race([exit, sleepMs(STOP_TIMEOUT_MS)]);
    this.stoppingNodes.delete(node.name);
  }
}
