import { create } from '@bufbuild/protobuf';
import {
  ExchangeRequestSchema,
  ExchangeResponseSchema,
} from '../../../gen/hyssoppulley/v1/poison_pb.ts';
import { NodeIdentitySchema } from '../../../gen/hyssoppulley/v1/peer_pb.ts';
import { sleep, Stopwatch } from '../../../shared/clock.ts';
import { seededRandom } from '../../../shared/random.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { WorkerCallError } from '../../dataPath/workerHttpClient.ts';
import { RequestLimits } from '../../decisions/requestLimits.ts';
import type { ForwardedRequest, ForwardOutcome } from '../../gateway/forwardedRequest.ts';
import { Forwarder } from '../../gateway/forwarder.ts';
import type { GatewayRoute } from '../../gateway/gatewayTables.ts';
import { LoadBalancer } from '../../gateway/loadBalancer.ts';
import { WorkerAttempts } from '../../gateway/workerAttempts.ts';
import type { WorkerResponse } from '../../gateway/workerCalls.ts';
import { type RegisteredWorker, WorkerRegistry } from '../../gateway/workerRegistry.ts';
import type { Peer } from '../../membership/membershipView.ts';
import { silentLogger } from '../../observability/logger.ts';
import { createMetrics } from '../../observability/metrics.ts';
import { PoisonExchange } from '../poisonExchange.ts';
import { PoisonGuard } from '../poisonGuard.ts';

const POOL = 'p';

/** Time before the end of a request's time budget at which a worker gives it up with status 504, in ms. */
const GIVEN_UP_BEFORE_MS = 5;

const ROUTE = {
  ...{ name: 'r', host: 'h', pathPrefix: '/', kind: 'idempotent', priority: 0 },
  ...{ pools: [{ pool: POOL, weight: 1 }], timeoutMs: 5000, targetLatencyMs: 4000 },
  ...{ maxAttempts: 3, resumable: false },
} as unknown as GatewayRoute;

interface StandInWorker {
  startedAtMs: number;
  isUp: boolean;
  readonly breakOffs: Set<() => void>;
}

export interface CallersHarnessOptions {
  readonly nodes: number;
  readonly workers: number;
  /** Time from the start of a request to its end, in ms: a deadly one ends the worker then. */
  readonly workMs: number;
  readonly isDeadly?: (path: string) => boolean;
  /** Time until an ended worker starts again, in ms. @default 3300 */
  readonly downMs?: number;
}

/** Entry nodes that tell each other about suspected requests, and workers whose processes end, on a virtual clock. */
export class CallersHarness {
  readonly clock = new VirtualClock();

  endedWorkers = 0;

  /** Number of times at which requests began to run. */
  runs = 0;

  readonly #options: CallersHarnessOptions;

  readonly #workers = new Map<string, StandInWorker>();

  readonly #nodes: { registry: WorkerRegistry; forwarder: Forwarder; exchange: PoisonExchange }[] =
    [];

  constructor(options: CallersHarnessOptions) {
    this.#options = options;
    for (let index = 0; index < options.nodes; index += 1) this.#addNode(index);
    for (let index = 0; index < options.workers; index += 1) this.#startWorker(`w${index}`);
  }

  /** Sends a request at a node. */
  async send(node: number, path: string, budgetMs = 5000): Promise<ForwardOutcome | undefined> {
    const { clock } = this;
    const request = {
      ...{ id: `${path}-${clock.monotonicMs()}`, method: 'POST', host: 'h', path, headers: [] },
      ...{ body: Buffer.alloc(0), budgetMs, sinceArrival: new Stopwatch(clock) },
    } as unknown as ForwardedRequest;
    return this.#nodes[node]?.forwarder.forward(request, ROUTE, new AbortController().signal);
  }

  /** Ends workers, which start again later. */
  endWorkers(names: readonly string[]): void {
    for (const name of names) {
      const worker = this.#workers.get(name);
      if (worker?.isUp !== true) continue;
      worker.isUp = false;
      this.endedWorkers += 1;
      for (const breakOff of worker.breakOffs) breakOff();
      worker.breakOffs.clear();
      this.clock.schedule(this.#options.downMs ?? 3300, () => this.#startWorker(name));
    }
  }

  #startWorker(name: string): void {
    const startedAtMs = (this.#workers.get(name)?.startedAtMs ?? 0) + 1;
    this.#workers.set(name, { startedAtMs, isUp: true, breakOffs: new Set() });
    const value = {
      ...{ id: name, pool: POOL, address: name, availabilityZone: 'z', slots: 8 },
      ...{ draining: false, startedAtMs, heartbeatCount: 1, models: [] },
    };
    const object = { key: `servers/${name}`, version: startedAtMs, operationId: '', value };
    for (const { registry } of this.#nodes) registry.applyEvent({ type: 'written', object });
  }

  #addNode(index: number): void {
    const common = { clock: this.clock, logger: silentLogger, random: seededRandom(index + 1) };
    const registry = new WorkerRegistry({
      ...common,
      decode: ({ value }) => value as RegisteredWorker,
      onChange: () => {},
    });
    const guard = new PoisonGuard({
      ...{ ...common, metrics: createMetrics() },
      hasEnded: async (address) => {
        const hasEnded = this.#workers.get(address)?.isUp === false;
        await sleep(this.clock, 2);
        return hasEnded;
      },
    });
    const identityOf = (name: string) => create(NodeIdentitySchema, { name });
    const exchange = new PoisonExchange({
      ...{ ...common, guard },
      view: {
        self: identityOf(String(index)),
        peers: () =>
          this.#nodes.flatMap((_, other) =>
            other === index
              ? []
              : [{ identity: identityOf(String(other)), suspected: false, leaving: false } as Peer],
          ),
      },
      call: async ({ name }, message) => {
        await sleep(this.clock, 2);
        const target = this.#nodes[Number(name)];
        if (target === undefined) throw new Error('no such node');
        const response = target.exchange.receive(create(ExchangeRequestSchema, message));
        return create(ExchangeResponseSchema, response);
      },
    });
    const loadBalancer = new LoadBalancer({ ...common, registry, availabilityZone: 'z' });
    const attempts = new WorkerAttempts({
      ...{ ...common, loadBalancer, limits: new RequestLimits(), poison: guard },
      permits: {
        obtain: () => Promise.resolve({ permits: [], retryAfterMs: 0, issuer: undefined }),
      },
      isMostUrgent: () => true,
      calls: {
        send: ({ id }, { path, remainingMs = Infinity }, signal) =>
          this.#run(id, path, remainingMs - GIVEN_UP_BEFORE_MS, signal),
      },
    });
    // The response of the stand-in workers has no body to read.
    Object.assign(attempts, {
      readResponse: (worker: RegisteredWorker, response: unknown) =>
        Promise.resolve({ worker, response, mayHaveRun: true, reason: '' }),
    });
    const forwarder = new Forwarder({ ...common, attempts, loadBalancer });
    this.#nodes.push({ registry, forwarder, exchange });
  }

  async #run(
    id: string,
    path: string,
    giveUpAfterMs: number,
    signal: AbortSignal,
  ): Promise<WorkerResponse> {
    const worker = this.#workers.get(id);
    if (worker?.isUp !== true) {
      throw new WorkerCallError('connection refused', { props: { notConnected: true } });
    }
    this.runs += 1;
    const isGivenUp = giveUpAfterMs < this.#options.workMs;
    await new Promise<void>((resolve, reject) => {
      const breakOff = () => reject(new WorkerCallError('connection reset'));
      worker.breakOffs.add(breakOff);
      signal.addEventListener('abort', () => {
        worker.breakOffs.delete(breakOff);
        reject(new WorkerCallError('aborted'));
      });
      this.clock.schedule(Math.min(this.#options.workMs, giveUpAfterMs), () => {
        if (!worker.breakOffs.has(breakOff)) return;
        if (!isGivenUp && this.#options.isDeadly?.(path)) {
          this.endWorkers([id]);
          return;
        }
        worker.breakOffs.delete(breakOff);
        resolve();
      });
    });
    const statusCode = isGivenUp ? 504 : 200;
    return { statusCode, notRun: false, headers: {} } as unknown as WorkerResponse;
  }
}
