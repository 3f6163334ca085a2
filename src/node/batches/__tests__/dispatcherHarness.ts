import { create } from '@bufbuild/protobuf';
import { InMemoryPlatform } from '../../../../playground/inMemoryPlatform.ts';
import {
  type BatchItem,
  BatchItemSchema,
  type BatchRecord,
  BatchRecordSchema,
} from '../../../gen/hyssoppulley/v1/batch_pb.ts';
import { sleep } from '../../../shared/clock.ts';
import { seededRandom } from '../../../shared/random.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { WorkerCallError } from '../../dataPath/workerHttpClient.ts';
import { RequestLimits } from '../../decisions/requestLimits.ts';
import { type RegisteredWorker, WorkerRegistry } from '../../gateway/workerRegistry.ts';
import type { LogFields, Logger } from '../../observability/logger.ts';
import { silentLogger } from '../../observability/logger.ts';
import { createMetrics } from '../../observability/metrics.ts';
import { PoisonGuard } from '../../poison/poisonGuard.ts';
import { encodeItems, itemsKey } from '../batchObjects.ts';
import { ContentMemory } from '../contents/contentMemory.ts';
import { ItemBodies } from '../contents/itemBodies.ts';
import { PartCache } from '../contents/partCache.ts';
import { toStoredPart } from '../contents/storedPart.ts';
import { WeightLoads } from '../../weights/weightLoads.ts';
import type { GenerationCalls, GenerationEnd } from '../generationCalls.ts';
import type { ItemScorer } from '../itemScorer.ts';
import { PartialTextCache } from '../partialTextCache.ts';
import { PoolDispatcher } from '../poolDispatcher.ts';

const POOL = 'p';
const DEFAULT_SLOTS = 8;

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
  /** Number of items that a worker runs at the same time. @default 8 */
  readonly slots?: number;
  /** Number of events of an item's text. @default 40 */
  readonly eventsOf?: (item: string) => number;
  /** Whether an item ends the process of a worker. @default never */
  readonly isDeadly?: (item: string) => boolean;
  /** Time from the start of a run until a deadly item ends the worker, in ms. @default `EVENT_GAP_MS` */
  readonly deadlyAfterMs?: number;
  /** Time from the start of a run to its first event, in ms. The response starts earlier. @default `EVENT_GAP_MS` */
  readonly firstEventMs?: number;
  /** Time between two events of a run, in ms. @default `EVENT_GAP_MS` */
  readonly eventGapMs?: number;
  /** Time that a probe of a worker takes, in ms. @default 0 */
  readonly probeMs?: number;
  /** Path of an item's request. @default its own */
  readonly pathOf?: (item: string) => string;
  /** Size of the body of an item's request, in bytes. @default 0 */
  readonly bodyBytes?: number;
  /** Memory for the contents of batches, in bytes. @default unlimited */
  readonly roomBytes?: number;
}

/** A dispatcher on a virtual clock with workers whose processes end and start again. Items have no scores. */
export class DispatcherHarness implements Disposable {
  readonly clock = new VirtualClock();

  dispatcher: PoolDispatcher;

  /** Number of runs by item. */
  readonly runCounts = new Map<string, number>();

  readonly finished = new Set<string>();

  /** Fields of the lines logged, by event. */
  readonly logged = new Map<string, LogFields[]>();

  readonly metrics = createMetrics();

  readonly platform = new InMemoryPlatform();

  readonly memory: ContentMemory;

  /** Items that were run with another body than their own. */
  readonly wrongBodies: string[] = [];

  /** Number of times that the dispatcher asked whether an item may start. */
  verdictCount = 0;

  /** Number of ended worker processes. */
  endedWorkers = 0;

  readonly #options: DispatcherHarnessOptions;

  readonly #workers = new Map<string, StandInWorker>();

  readonly #runs = new Set<Run>();

  readonly #registry: WorkerRegistry;

  readonly #parts: PartCache;

  readonly #createBodies: () => ItemBodies;

  #bodies: ItemBodies;

  readonly #createDispatcher: (term: number) => PoolDispatcher;

  readonly #batches: { readonly record: BatchRecord; readonly items: BatchItem[] }[] = [];

  #term = 1;

  constructor(options: DispatcherHarnessOptions) {
    this.#options = options;
    const log = (event: string, fields: LogFields = {}) => {
      this.logged.set(event, [...(this.logged.get(event) ?? []), fields]);
    };
    const logger: Logger = { ...silentLogger, info: log, warn: log };
    const common = { clock: this.clock, platform: this.platform, logger };
    const { clock } = this;
    const memory = new ContentMemory(() => options.roomBytes ?? Infinity);
    const parts = new PartCache(this.platform, memory);
    this.memory = memory;
    this.#parts = parts;
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
    const poison = new PoisonGuard({
      ...{ ...common, metrics: createMetrics() },
      workersOf: (pool) => this.#registry.usable(pool),
      hasEnded: async (address) => {
        const hasEnded = this.#workers.get(address)?.isUp === false;
        if (options.probeMs !== undefined) await sleep(this.clock, options.probeMs);
        return hasEnded;
      },
    });
    const verdictOf = poison.verdictOf.bind(poison);
    poison.verdictOf = (...request) => {
      this.verdictCount += 1;
      return verdictOf(...request);
    };
    this.#createBodies = () => new ItemBodies({ clock, memory, parts });
    this.#bodies = this.#createBodies();
    this.#createDispatcher = (term) =>
      new PoolDispatcher({
        ...{ ...common, random, weights, registry: this.#registry },
        ...{ pool: POOL, term, writer: `n-${term}`, limits: new RequestLimits() },
        maxValueBytes: 1_000_000,
        poison,
        permits: {
          obtain: () => Promise.resolve({ permits: [], retryAfterMs: 0, issuer: undefined }),
        },
        metrics: this.metrics,
        engine: () => ({ slots: this.#slots, cacheTokens: 1e6, tokensPerEvent: 1, models: ['m'] }),
        calls: { generate: (...call) => this.#generate(...call) },
        scorer: {} as ItemScorer,
        newestVersion: () => 1,
        partialTexts: new PartialTextCache(),
        ...{ memory, bodies: this.#bodies },
        batchView: () => ({ ageMs: 0, platformLost: false }),
        onSuperseded: () => {},
      });
    this.dispatcher = this.#createDispatcher(1);
    for (let index = 0; index < options.workers; index += 1) this.#start(`w${index}`);
  }

  /** Adds a batch of items `ID-0`, `ID-1` and so on, all of which the trainer waits for. */
  async addBatch(
    id: string,
    itemCount: number,
    resultDeadlineMs = RESULT_DEADLINE_MS,
  ): Promise<void> {
    const record = create(BatchRecordSchema, {
      ...{ id, pool: POOL, model: 'm', itemCount, maxAttempts: 3 },
      submittedAtMs: BigInt(this.clock.nowMs()),
      resultDeadlineMs,
    });
    const items = Array.from({ length: itemCount }, (_, index) =>
      create(BatchItemSchema, {
        ...{ id: `${id}-${index}`, group: `g${index}` },
        path: this.#options.pathOf?.(`${id}-${index}`) ?? `/${id}-${index}`,
        maxOutputTokens: this.#eventsOf(`${id}-${index}`),
        body: new Uint8Array(this.#options.bodyBytes ?? 0).fill(index % 256),
      }),
    );
    // One item a part.
    for (const [part, item] of items.entries()) {
      await this.platform.write(itemsKey(record, part), encodeItems([item]));
      this.#bodies.add(record, part, toStoredPart([item]));
    }
    this.#batches.push({ record, items });
    await this.dispatcher.add(record, items);
  }

  /**
   * Replaces the dispatcher by that of another node, which knows the same suspected requests.
   *
   * @param isKilled - whether the former dispatcher hands over nothing
   */
  async takeOver(isKilled = false): Promise<void> {
    const released = this.dispatcher.release();
    const progress = isKilled ? [] : released;
    this.#term += 1;
    this.#bodies[Symbol.dispose]();
    this.#bodies = this.#createBodies();
    this.dispatcher = this.#createDispatcher(this.#term);
    for (const { record, items } of this.#batches) {
      const ofBatch = progress.filter(({ itemId }) => items.some(({ id }) => id === itemId));
      for (const part of items.keys()) {
        const stored = await this.#parts.take(record, part, { kind: 'normal' });
        this.#bodies.add(record, part, stored);
      }
      await this.dispatcher.add(record, items, { takeOver: true, progress: ofBatch });
    }
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

  /** Lets the registration of a worker say that it is about to stop. */
  drain(name: string): void {
    this.#register(name, true);
  }

  /** Makes a worker accept runs without generating anything. */
  silence(name: string, isSilent: boolean): void {
    const worker = this.#workers.get(name);
    if (worker !== undefined) worker.isSilent = isSilent;
  }

  /**
   * Lets time pass.
   *
   * @param maxBusyShare - time counts only while at most this share of the slots is busy @default 1
   * @returns longest time in ms for which an unfinished item of `items` was at no worker
   */
  async longestIdleMs(items: readonly string[], forMs: number, maxBusyShare = 1): Promise<number> {
    const stepMs = 10;
    const maxRuns = maxBusyShare * this.#slots * this.#options.workers;
    const idleMs = new Map<string, number>();
    let longestMs = 0;
    for (let passedMs = 0; passedMs < forMs; passedMs += stepMs) {
      await this.clock.advanceAsync(stepMs);
      const running = new Set([...this.#runs].map(({ item }) => item));
      for (const item of items) {
        const isIdle = !running.has(item) && !this.finished.has(item) && this.#runs.size <= maxRuns;
        idleMs.set(item, isIdle ? (idleMs.get(item) ?? 0) + stepMs : 0);
        longestMs = Math.max(longestMs, idleMs.get(item) ?? 0);
      }
    }
    return longestMs;
  }

  [Symbol.dispose](): void {
    this.dispatcher[Symbol.dispose]();
  }

  get #slots(): number {
    return this.#options.slots ?? DEFAULT_SLOTS;
  }

  #eventsOf(item: string): number {
    return this.#options.eventsOf?.(item) ?? 40;
  }

  #start(name: string): void {
    const startedAtMs = (this.#workers.get(name)?.startedAtMs ?? 0) + 1;
    this.#workers.set(name, { startedAtMs, isUp: true, isSilent: false });
    this.#register(name, false);
  }

  #register(name: string, draining: boolean): void {
    const startedAtMs = this.#workers.get(name)?.startedAtMs ?? 0;
    const value = {
      ...{ id: name, pool: POOL, address: name, availabilityZone: 'z', slots: this.#slots },
      ...{ draining, startedAtMs, heartbeatCount: draining ? 2 : 1 },
      models: [{ name: 'm', version: 1 }],
    };
    const object = { key: `servers/${name}`, version: startedAtMs, operationId: '', value };
    this.#registry.applyEvent({ type: 'written', object });
    this.dispatcher.workersChanged();
  }

  #generate(
    ...[{ id: worker }, request, listener, signal]: Parameters<GenerationCalls['generate']>
  ): Promise<GenerationEnd> {
    const { requestId: item, resumeAfter, body, onBodySent } = request;
    const bodyBytes = this.#options.bodyBytes ?? 0;
    const isOwnBody = body.every((byte) => byte === Number(item.split('-').at(-1)) % 256);
    if (body.length !== bodyBytes || !isOwnBody) this.wrongBodies.push(item);
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
      const {
        isDeadly,
        deadlyAfterMs = EVENT_GAP_MS,
        firstEventMs = EVENT_GAP_MS,
        eventGapMs = EVENT_GAP_MS,
      } = this.#options;
      const isRunning = () => this.#runs.has(run) && !state.isSilent;
      let number = resumeAfter ?? 0;
      const generate = () => {
        if (!isRunning()) return;
        number += 1;
        listener.onEvent({ number, data: `${item}.${number}`, version: 1 });
        if (number < this.#eventsOf(item)) {
          this.clock.schedule(eventGapMs, generate);
          return;
        }
        this.#runs.delete(run);
        this.finished.add(item);
        resolve({ kind: 'complete' });
      };
      if (isDeadly?.(item)) {
        this.clock.schedule(deadlyAfterMs, () => {
          if (isRunning()) this.endWorkers([worker], 500);
        });
      }
      this.clock.schedule(EVENT_GAP_MS, () => {
        onBodySent?.();
        if (isRunning()) listener.onResponseStart(1, undefined);
      });
      this.clock.schedule(firstEventMs, generate);
    });
  }
}
