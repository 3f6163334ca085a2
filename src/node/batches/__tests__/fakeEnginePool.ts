import { create } from '@bufbuild/protobuf';
import { PausableClock } from '../../../../playground/membership/pausableClock.ts';
import { InMemoryPlatform } from '../../../../playground/inMemoryPlatform.ts';
import { BatchItemSchema, BatchRecordSchema } from '../../../gen/hyssoppulley/v1/batch_pb.ts';
import { sleep } from '../../../shared/clock.ts';
import { type Random, seededRandom } from '../../../shared/random.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import { WorkerCallError } from '../../dataPath/workerHttpClient.ts';
import { PermitIssuer } from '../../decisions/permitIssuer.ts';
import { RequestLimits } from '../../decisions/requestLimits.ts';
import type { CalledWorker, DispatchedRequest } from '../../gateway/workerCalls.ts';
import { type RegisteredWorker, WorkerRegistry } from '../../gateway/workerRegistry.ts';
import { type Logger, silentLogger } from '../../observability/logger.ts';
import { createMetrics } from '../../observability/metrics.ts';
import type { LoadOrder, OrderResponse, WorkerReport } from '../../weights/orderCalls.ts';
import { WeightLoads } from '../../weights/weightLoads.ts';
import type { GenerationEnd, GenerationListener } from '../generationCalls.ts';
import type { ItemScorer } from '../itemScorer.ts';
import { PartialTextCache } from '../partialTextCache.ts';
import { PoolDispatcher } from '../poolDispatcher.ts';
import { unboundedContents } from './unboundedContents.ts';
import { noSuspicion } from './noSuspicion.ts';

export const SLOTS = 8;
const LOAD_MS = 900;
const HEARTBEAT_MS = 1000;

/** A worker whose faults are set by a test. */
export class FakeEngine {
  startedAtMs = 1;

  heartbeats = 0;

  alive = true;

  /** Answers nothing, neither requests nor reports nor orders. */
  frozen = false;

  /** Answers no order and no report, but requests. */
  ordersUnanswered = false;

  /** Says in its registration that it is about to stop. */
  draining = false;

  prefillMs = 40;

  gapMs = 20;

  orders = 0;

  loading: string | undefined;

  readonly versions: Map<string, number>;

  readonly running = new Map<string, () => void>();

  constructor(
    readonly id: string,
    models: Record<string, number>,
  ) {
    this.versions = new Map(Object.entries(models));
  }

  nextHeartbeat(): number {
    this.heartbeats += 1;
    return this.heartbeats;
  }

  beginLoad(model: string): void {
    this.orders += 1;
    this.loading = model;
  }

  endLoad(model: string, version: number): void {
    this.versions.set(model, version);
    this.loading = undefined;
  }

  /** Ends the process, and with it all of its runs. */
  crash(): void {
    this.alive = false;
    this.loading = undefined;
    for (const reset of [...this.running.values()]) reset();
    this.running.clear();
  }

  /** Starts the process again under the same id. */
  restart(nowMs: number): void {
    Object.assign(this, { alive: true, frozen: false, draining: false, loading: undefined });
    Object.assign(this, { startedAtMs: nowMs, heartbeats: 0, orders: 0 });
  }
}

export interface FakeEnginePoolOptions {
  readonly engines: readonly FakeEngine[];
  readonly models?: readonly string[];
  readonly random?: Random;
  readonly maySendOrders?: () => boolean;
  readonly logger?: Logger;
}

/** A dispatcher with engines that a test controls. No request is held for workers that ended under it. */
export const startFakeEnginePool = ({
  engines,
  models = ['m'],
  random = seededRandom(1),
  maySendOrders = () => true,
  logger = silentLogger,
}: FakeEnginePoolOptions) => {
  const clock = new VirtualClock();
  const processClock = new PausableClock(clock);
  /** Responses that arrived while the dispatcher's process was paused. */
  const unread: (() => void)[] = [];
  const receive = (read: () => void): void => {
    if (processClock.paused) unread.push(read);
    else read();
  };
  const platform = new InMemoryPlatform();
  const common = { clock, platform, logger, random };
  const published = new Map<string, number>();
  const limits = new RequestLimits();
  const issuer = new PermitIssuer();
  const engineOf = (id: string) => engines.find((engine) => engine.id === id);
  const registry = new WorkerRegistry({
    ...common,
    decode: ({ value }) => value as RegisteredWorker,
    // eslint-disable-next-line @typescript-eslint/no-use-before-define
    onChange: () => dispatcher?.workersChanged(),
  });
  const register = (engine: FakeEngine) => {
    const worker: RegisteredWorker = {
      ...{ id: engine.id, pool: 'p', address: '127.0.0.1:1', availabilityZone: 'z', slots: SLOTS },
      ...{ draining: engine.draining, startedAtMs: engine.startedAtMs },
      heartbeatCount: engine.nextHeartbeat(),
      models: [...engine.versions].map(([name, version]) => ({ name, version })),
    };
    const object = { key: `servers/${engine.id}`, version: 1, operationId: '', value: worker };
    registry.applyEvent({ type: 'written', object });
  };
  const unregister = (engine: FakeEngine) =>
    registry.applyEvent({
      type: 'removed',
      object: { key: `servers/${engine.id}`, version: 1, operationId: '', value: {} },
    });
  const reset = () => new WorkerCallError('connection reset');
  const order = async (
    { id }: Pick<RegisteredWorker, 'id'>,
    { model, version, expectedOrders }: LoadOrder,
  ): Promise<OrderResponse> => {
    await sleep(clock, 2);
    const engine = engineOf(id);
    if (!engine?.alive) return 'refused';
    if (engine.frozen || engine.ordersUnanswered) {
      await sleep(clock, 250);
      return 'unknown';
    }
    if (engine.loading !== undefined || expectedOrders !== engine.orders) return 'conflict';
    if (engine.versions.get(model) === version) return 'holds';
    const { startedAtMs } = engine;
    engine.beginLoad(model);
    void sleep(clock, LOAD_MS).then(() => {
      if (engine.alive && engine.startedAtMs === startedAtMs) engine.endLoad(model, version);
    });
    return 'accepted';
  };
  const report = async ({
    id,
  }: Pick<RegisteredWorker, 'id'>): Promise<WorkerReport | undefined> => {
    await sleep(clock, 2);
    const engine = engineOf(id);
    if (!engine?.alive) return undefined;
    if (engine.frozen || engine.ordersUnanswered) {
      await sleep(clock, 500);
      return undefined;
    }
    const { startedAtMs, orders, versions, loading } = engine;
    return { busy: loading !== undefined, orders, startedAtMs, versions: new Map(versions) };
  };
  const weights = new WeightLoads({
    ...{ ...common, calls: { order, report }, maySendOrders },
    ...{ holder: 'n', fencing: 1, verifyHolder: () => Promise.resolve(true), onFenced() {} },
    // eslint-disable-next-line @typescript-eslint/no-use-before-define
    onChange: () => dispatcher?.schedule(),
    onLoad() {},
  });
  const modelOf = new Map<string, string>();
  const eventsOf = new Map<string, number>();
  /** Runs one item; events go on until the given number of them. */
  const generate = async (
    { id, startedAtMs }: CalledWorker,
    { requestId, resumeAfter = 0 }: DispatchedRequest,
    listener: GenerationListener,
    signal: AbortSignal,
  ): Promise<GenerationEnd> => {
    const engine = engineOf(id);
    if (!engine?.alive) {
      throw new WorkerCallError('connection refused', { props: { notConnected: true } });
    }
    await sleep(clock, 2);
    const model = modelOf.get(requestId) ?? 'm';
    if (engine.loading === model) return { kind: 'not-run', misdirected: false };
    let isReset = false;
    engine.running.set(requestId, () => {
      isReset = true;
    });
    const pass = async (ms: number) => {
      await sleep(clock, ms, signal);
      while (engine.frozen && !signal.aborted && !isReset) await sleep(clock, 10, signal);
      if (signal.aborted || isReset || engine.startedAtMs !== startedAtMs) throw reset();
    };
    try {
      await pass(engine.prefillMs);
      const startVersion = engine.versions.get(model) ?? 0;
      receive(() => listener.onResponseStart(startVersion, undefined));
      const last = eventsOf.get(requestId) ?? 0;
      for (let number = resumeAfter + 1; number <= last; number += 1) {
        await pass(engine.gapMs);
        const event = { number, data: 'x', version: engine.versions.get(model) ?? 0 };
        receive(() => listener.onEvent(event));
      }
      return { kind: 'complete' };
    } finally {
      engine.running.delete(requestId);
    }
  };
  const dispatcher = new PoolDispatcher({
    ...{ ...common, clock: processClock },
    ...{ pool: 'p', term: 1, writer: 'n-1', registry, weights, limits, maxValueBytes: 100_000 },
    poison: noSuspicion,
    permits: {
      obtain: ({ pool, workers, count = 1, maxDelayMs }) => {
        const limited = workers.map(({ id }) => ({ id, perSecond: limits.of(id) ?? 0 }));
        const wanted = { pool, workers: limited, count, maxDelayMs, share: 1 };
        return Promise.resolve({ ...issuer.issue(wanted, clock.monotonicMs()), issuer: 'n' });
      },
    },
    metrics: createMetrics(),
    engine: () => ({ slots: SLOTS, cacheTokens: 1e6, tokensPerEvent: 1, models: [...models] }),
    calls: { generate },
    scorer: {} as ItemScorer,
    newestVersion: (model) => published.get(model) ?? 0,
    partialTexts: new PartialTextCache(),
    ...unboundedContents(clock, common.platform),
    batchView: () => ({ ageMs: 0, platformLost: false }),
    onSuperseded: () => {},
  });
  for (const engine of engines) register(engine);
  const heartbeat = async (engine: FakeEngine): Promise<void> => {
    await sleep(clock, random() * HEARTBEAT_MS);
    while (!dispatcher.closed) {
      if (engine.alive && !engine.frozen) register(engine);
      await sleep(clock, HEARTBEAT_MS);
    }
  };
  for (const engine of engines) void heartbeat(engine);
  /** Adds a batch whose items have `events` events each. Returns the ids of the items. */
  const addBatch = async (
    id: string,
    itemCount: number,
    events: number,
    { model = 'm', minVersion = 0, singleVersion = false } = {},
  ): Promise<string[]> => {
    const ids = Array.from({ length: itemCount }, (_each, index) => `${id}-${index}`);
    const record = create(BatchRecordSchema, {
      ...{ id, pool: 'p', model, itemCount, minVersion, singleVersion, maxAttempts: 1000 },
      submittedAtMs: BigInt(Math.round(clock.nowMs())),
    });
    const items = ids.map((itemId) => {
      modelOf.set(itemId, model);
      eventsOf.set(itemId, events);
      return create(BatchItemSchema, {
        ...{ id: itemId, path: `/${itemId}`, group: `${itemId}-g`, expectedOutputTokens: events },
      });
    });
    await dispatcher.add(record, items);
    return ids;
  };
  return {
    ...{ clock, dispatcher, registry, limits, published, weights },
    ...{ register, unregister, addBatch, random },
    /** Pauses the dispatcher's process: its timers do not run, and it does not read responses. */
    pause: () => {
      processClock.paused = true;
    },
    /** Ends the pause. As in Node, timers that are due run before responses are read. */
    resume: () => {
      processClock.resume();
      for (const read of unread.splice(0)) read();
    },
    /** Engine that runs an item. */
    engineRunning: (item: string) => engines.find(({ running }) => running.has(item)),
    /** Items of a batch that have a result. */
    listedItems: async (batch: string): Promise<string[]> =>
      ((await dispatcher.read(batch, 0, 0))?.results ?? []).map(({ itemId }) => itemId),
  };
};
