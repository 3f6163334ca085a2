import { once } from 'node:events';
import type { Random } from '../../src/shared/random.ts';
import type { ProxyFault } from './faultProxy.ts';
import type { SoakDeployment, SoakNode } from './soakDeployment.ts';
import type { AnswerFault } from './soakWorker.ts';
import { sleepMs } from '../standIns/standInServer.ts';

/** One fault of a schedule; several may overlap. */
export interface SoakFault {
  readonly kind:
    | ('kill' | 'pause' | 'stop' | 'hangup')
    | ('path' | 'worker' | 'answers' | 'platform' | 'tables');
  readonly atMs: number;
  readonly forMs: number;
  /** Number of the node or worker. */
  readonly target: number;
  readonly variant: number;
}

const KINDS: readonly SoakFault['kind'][] = [
  ...(['kill', 'pause', 'stop', 'hangup'] as const),
  ...(['path', 'worker', 'answers', 'platform', 'tables'] as const),
];

const ANSWER_FAULTS: readonly AnswerFault[] = ['lost', 'half', 'extra', 'failed'];

const PROXY_FAULTS: readonly ProxyFault[] = ['delay', 'silent', 'one-way', 'reset'];

const PLATFORM_FAULTS: readonly object[] = [
  { outage: true },
  { silent: true },
  { latencyMs: 200 },
  { loseNextAnswers: 3 },
];

/** Time for a planned stop, in ms: above the nodes' grace. */
const STOP_LIMIT_MS = 7000;

/** Draws a schedule: faults in series, some of them overlapping. */
export const drawFaults = (random: Random, durationMs: number): SoakFault[] => {
  const faults: SoakFault[] = [];
  for (let atMs = 500; atMs < durationMs; atMs += 200 + random() * 1800) {
    faults.push({
      kind: KINDS[Math.floor(random() * KINDS.length)] ?? 'kill',
      atMs,
      forMs: 300 + random() * 2500,
      target: Math.floor(random() * 4),
      variant: Math.floor(random() * 4),
    });
  }
  return faults;
};

/** Brings faults about from outside the processes. */
export class SoakFaults {
  readonly #deployment: SoakDeployment;

  /** Nodes that are stopping in a planned way, with no other fault since. */
  readonly stopping = new Set<string>();

  /** Nodes whose process a fault is about to end or start. */
  readonly #busy = new Set<SoakNode>();

  constructor(deployment: SoakDeployment) {
    this.#deployment = deployment;
  }

  /** Runs a schedule; resolves when every fault has ended and every node runs. */
  async run(faults: readonly SoakFault[]): Promise<void> {
    await Promise.all(
      faults.map(async (fault) => {
        await sleepMs(fault.atMs);
        await this.#bring(fault);
      }),
    );
    const { nodes, workers, workerProxies } = this.#deployment;
    await this.#deployment.platformFaults({});
    for (const proxy of workerProxies) proxy.set('none');
    for (const worker of workers) worker.answerFault = 'none';
    for (const node of nodes) {
      node.platformProxy.set('none');
      node.process?.child.kill('SIGCONT');
      if (node.process === undefined) await this.#deployment.startNode(node);
    }
  }

  async #bring({ kind, forMs, target, variant }: SoakFault): Promise<void> {
    const { nodes, workers, workerProxies } = this.#deployment;
    const node = nodes[target % nodes.length];
    const fault = PROXY_FAULTS[variant] ?? 'delay';
    // A stop beside a fault of the platform or of paths may have to cut requests off.
    if (kind !== 'hangup' && kind !== 'tables' && kind !== 'stop') this.stopping.clear();
    if (kind === 'tables') await this.#deployment.writeTables();
    else if (kind === 'platform') {
      await this.#deployment.platformFaults(PLATFORM_FAULTS[variant] ?? {});
      await sleepMs(forMs);
      await this.#deployment.platformFaults({});
    } else if (kind === 'worker') {
      const proxy = workerProxies[target % workerProxies.length];
      proxy?.set(fault);
      await sleepMs(forMs);
      proxy?.set('none');
    } else if (kind === 'answers') {
      for (const worker of workers) worker.answerFault = ANSWER_FAULTS[variant] ?? 'lost';
      await sleepMs(forMs);
      for (const worker of workers) worker.answerFault = 'none';
    } else if (node !== undefined && kind === 'path') {
      node.platformProxy.set(fault);
      await sleepMs(forMs);
      node.platformProxy.set('none');
    } else if (node !== undefined) await this.#signal(node, kind, forMs);
  }

  async #signal(node: SoakNode, kind: SoakFault['kind'], forMs: number): Promise<void> {
    const child = node.process?.child;
    if (child === undefined || this.#busy.has(node)) return;
    if (kind === 'hangup') {
      child.kill('SIGHUP');
      return;
    }
    this.#busy.add(node);
    if (kind === 'pause') {
      child.kill('SIGSTOP');
      await sleepMs(forMs);
      child.kill('SIGCONT');
    } else {
      const exit = once(child, 'exit');
      if (kind === 'stop') await this.#stop(node, exit);
      child.kill('SIGKILL');
      await exit;
      await sleepMs(forMs / 4);
      await this.#deployment.startNode(node);
    }
    this.#busy.delete(node);
  }

  async #stop(node: SoakNode, exit: Promise<unknown>): Promise<void> {
    this.stopping.add(node.name);
    node.process?.child.kill('SIGTERM');
    await Promise.race([exit, sleepMs(STOP_LIMIT_MS)]);
    this.stopping.delete(node.name);
  }
}
