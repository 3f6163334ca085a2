import { create } from '@bufbuild/protobuf';
import { InMemoryPlatform } from '../../../../playground/inMemoryPlatform.ts';
import { BatchItemSchema, BatchRecordSchema } from '../../../gen/hyssoppulley/v1/batch_pb.ts';
import { seededRandom } from '../../../shared/random.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { WorkerCallError } from '../../dataPath/workerHttpClient.ts';
import { RequestLimits } from '../../decisions/requestLimits.ts';
import { type RegisteredWorker, WorkerRegistry } from '../../gateway/workerRegistry.ts';
import type { LogFields, Logger } from '../../observability/logger.ts';
import { silentLogger } from '../../observability/logger.ts';
import { createMetrics } from '../../observability/metrics.ts';
import { PoisonGuard } from '../../poison/poisonGuard.ts';
import { WeightLoads } from '../../weights/weightLoads.ts';
import type { GenerationCalls, GenerationEnd } from '../generationCalls.ts';
import type { ItemScorer } from '../itemScorer.ts';
import { PartialTextCache } from '../partialTextCache.ts';
import { PoolDispatcher } from '../poolDispatcher.ts';

const POOL = 'p';
const SLOTS = 8;

/** Time from the submission of a batch until its results are due, in ms. */
export const RESULT_DEADLINE_MS = 7500;

/** Time between two events of a run, in ms. */
const EVENT_GAP_MS = 25;

interface Run {
  readonly item: string;
  readonly worker: string;
  readonly breakOff: () => void;
}

interface StandInWorker {
  startedAtMs: number;
  /** Whether its process runs. */
  isUp: boolean;
  /** Whether it accepts runs without generating anything. */
  isSilent: boolean;
}

export interface DispatcherHarnessOptions {
  readonly workers: number;
  /** Number of events of an item's text. @default 40 */
  readonly eventsOf?: (item: string) => number;
  /** Whether an item ends the process of a worker when its run starts. @default never */
  readonly isDeadly?: (item: string) => boolean;
}

/** A dispatcher on a virtual clock with workers whose processes end and start again. Items have no scores. */
export class DispatcherHarness implements Disposable {
  readonly clock = new VirtualClock();

  readonly dispatcher: PoolDispatcher;

  /** Number of runs by item. */
  readonly runCounts = new Map<string, number>();

  readonly finished = new Set<string>();

  /** Fields of the lines logged, by event. */
  readonly logged = new Map<string, LogFields[]>();

  /** Number of ended worker processes. */
  endedWorkers = 0;

  readonly #options: DispatcherHarnessOptions;

  readonly #workers = new Map<string, StandInWorker>();

  readonly #runs = new Set<Run>();

  readonly #registry: WorkerRegistry;

  constructor(options: DispatcherHarnessOptions) {
    this.#options = options;
    const log = (event: string, fields: LogFields = {}) => {
      this.logged.set(event, [...(this.logged.get(event) ?? []), fields]);
    };
    const logger: Logger = { ...silentLogger, info: log, warn: log };
    const common = { clock: this.clock, platform: new InMemoryPlatform(), logger };
    const random = seededRandom(1);
    this.#registry = new WorkerRegistry({
      ...common,
      decode: ({ value }) => value as RegisteredWorker,
      onChange: () => {},
    });
    const weights = new WeightLoads({
      ...common,
      calls: { order: () => Promise.resolve('refused'), report: () => Promise.resolve(undefined) },
      ...{ holder: 'n', fencing: 1, verifyHolder: () => Promise.resolve(true) },
      ...{ maySendOrders: () => false, onFenced() {}, onChange() {}, onLoad() {} },
    });
    this.dispatcher = new PoolDispatcher({
      ...{ ...common, random, weights, registry: this.#registry },
      ...{ pool: POOL, term: 1, writer: 'n-1', limits: new RequestLimits() },
      maxValueBytes: 1_000_000,
      poison: new PoisonGuard({
        ...{ ...common, metrics: createMetrics() },
        hasEnded: (address) => Promise.resolve(this.#workers.get(address)?.isUp === false),
      }),
      permits: {
        obtain: () => Promise.resolve({ permits: [], retryAfterMs: 0, issuer: undefined }),
      },
      metrics: createMetrics(),
      engine: () => ({ slots: SLOTS, cacheTokens: 1e6, tokensPerEvent: 1, models: ['m'] }),
      calls: { generate: (...call) => this.#generate(...call) },
      scorer: {} as ItemScorer,
      newestVersion: () => 1,
      partialTexts: new PartialTextCache(),
      batchView: () => ({ ageMs: 0, platformLost: false }),
      onSuperseded: () => {},
    });
    for (let index = 0; index < options.workers; index += 1) this.#start(`w${index}`);
  }

  /** Adds a batch of items `ID-0`, `ID-1` and so on, all of which the trainer waits for. */
  async addBatch(id: string, itemCount: number): Promise<void> {
    const record = create(BatchRecordSchema, {
      ...{ id, pool: POOL, model: 'm', itemCount, maxAttempts: 3 },
      submittedAtMs: BigInt(this.clock.nowMs()),
      resultDeadlineMs: RESULT_DEADLINE_MS,
    });
    const items = Array.from({ length: itemCount }, (_, index) =>
      create(BatchItemSchema, {
        ...{ id: `${id}-${index}`, path: `/${id}-${index}`, group: `g${index}` },
        maxOutputTokens: this.#eventsOf(`${id}-${index}`),
      }),
    );
    await this.dispatcher.add(record, items);
  }

  /** Ends the processes of workers, which start again after `downMs`. */
  endWorkers(names: readonly string[], downMs: number): void {
    for (const name of names) {
      const worker = this.#workers.get(name);
      if (worker?.isUp !== true) continue;
      worker.isUp = false;
      this.endedWorkers += 1;
      for (const run of this.#runs) if (run.worker === name) run.breakOff();
      this.clock.schedule(downMs, () => this.#start(name));
    }
  }

  /** Makes a worker accept runs without generating anything. */
  silence(name: string, isSilent: boolean): void {
    const worker = this.#workers.get(name);
    if (worker !== undefined) worker.isSilent = isSilent;
  }

  /**
   * Lets time pass.
   *
   * @returns longest time in ms for which an unfinished item of `items` was at no worker
   */
  async longestIdleMs(items: readonly string[], forMs: number): Promise<number> {
    const stepMs = 10;
    const idleMs = new Map<string, number>();
    let longestMs = 0;
    for (let passedMs = 0; passedMs < forMs; passedMs += stepMs) {
      await this.clock.advanceAsync(stepMs);
      const running = new Set([...this.#runs].map(({ item }) => item));
      for (const item of items) {
        const isIdle = !running.has(item) && !this.finished.has(item);
        idleMs.set(item, isIdle ? (idleMs.get(item) ?? 0) + stepMs : 0);
        longestMs = Math.max(longestMs, idleMs.get(item) ?? 0);
      }
    }
    return longestMs;
  }

  [Symbol.dispose](): void {
    this.dispatcher[Symbol.dispose]();
  }

  #eventsOf(item: string): number {
    return this.#options.eventsOf?.(item) ?? 40;
  }

  #start(name: string): void {
    const startedAtMs = (this.#workers.get(name)?.startedAtMs ?? 0) + 1;
    this.#workers.set(name, { startedAtMs, isUp: true, isSilent: false });
    const value = {
      ...{ id: name, pool: POOL, address: name, availabilityZone: 'z', slots: SLOTS },
      ...{ draining: false, startedAtMs, heartbeatCount: 1 },
      models: [{ name: 'm', version: 1 }],
    };
    const object = { key: `servers/${name}`, version: startedAtMs, operationId: '', value };
    this.#registry.applyEvent({ type: 'written', object });
    this.dispatcher.workersChanged();
  }

  #generate(
    ...[{ id: worker }, { requestId: item, resumeAfter }, listener, signal]: Parameters<
      GenerationCalls['generate']
    >
  ): Promise<GenerationEnd> {
    const state = this.#workers.get(worker);
    if (state?.isUp !== true) {
      const props = { notConnected: true };
      return Promise.reject(new WorkerCallError('connection refused', { props }));
    }
    this.runCounts.set(item, (this.runCounts.get(item) ?? 0) + 1);
    return new Promise((resolve, reject) => {
      const run: Run = {
        ...{ item, worker },
        breakOff: () => {
          this.#runs.delete(run);
          reject(new WorkerCallError('connection reset'));
        },
      };
      this.#runs.add(run);
      signal.addEventListener('abort', run.breakOff, { once: true });
      let number = resumeAfter ?? 0;
      const generate = () => {
        if (!this.#runs.has(run) || state.isSilent) return;
        if (this.#options.isDeadly?.(item)) {
          this.endWorkers([worker], 500);
          return;
        }
        if (number === (resumeAfter ?? 0)) listener.onResponseStart(1, undefined);
        number += 1;
        listener.onEvent({ number, data: `${item}.${number}`, version: 1 });
        if (number < this.#eventsOf(item)) {
          this.clock.schedule(EVENT_GAP_MS, generate);
          return;
        }
        this.#runs.delete(run);
        this.finished.add(item);
        resolve({ kind: 'complete' });
      };
      this.clock.schedule(EVENT_GAP_MS, generate);
    });
  }
}
