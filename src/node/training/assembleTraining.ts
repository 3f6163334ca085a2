import type { MessageInitShape } from '@bufbuild/protobuf';
import type { JobStatusSchema } from '../../gen/hyssoppulley/v1/operator_pb.ts';
import { Protocol } from '../../gen/hyssoppulley/v1/tables_pb.ts';
import type { Clock } from '../../shared/clock.ts';
import { DisposableStore } from '../../shared/disposableStore.ts';
import { messageOf } from '../../shared/errors.ts';
import { newId, type Random } from '../../shared/random.ts';
import type { EngineApi } from '../dataPath/engineApi.ts';
import type { RequestHandler } from '../dataPath/httpServer.ts';
import type { MembershipView, TablesView } from '../membership/membershipView.ts';
import type { Logger } from '../observability/logger.ts';
import type { Metrics } from '../observability/metrics.ts';
import type { Tracing } from '../observability/tracing.ts';
import type { PlatformClient } from '../platform/platformClient.ts';
import type { ResolvedSettings } from '../settings/resolveSettings.ts';
import type { ResolvedTables } from '../tables/resolveTables.ts';
import { ByteBudget } from './byteBudget.ts';
import { JobEntry, type JobSpec } from './jobEntry.ts';
import { LeaseObserver } from './leaseObserver.ts';
import { OwnerForwarder } from './ownerForwarder.ts';
import { PoolEntry } from './poolEntry.ts';
import { TrainerApi } from './trainerApi.ts';
import type { TrainingContext } from './trainingContext.ts';
import { createTrainingMetrics } from './trainingMetrics.ts';
import { WeightRecords } from './weightRecords.ts';

export interface TrainingOptions {
  readonly settings: Pick<ResolvedSettings, 'timing' | 'limits'>;
  readonly tables: TablesView;
  readonly membership: MembershipView;
  readonly platform: PlatformClient;
  readonly engine: EngineApi;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Pick<Metrics, 'registry'>;
  /** @default noTracing */
  readonly tracing?: Tracing;
}

/** Training on one node. */
export interface Training extends AsyncDisposable {
  readonly callerHandler: RequestHandler;
  readonly peerHandler: RequestHandler;
  /** Begins to contend for leases. Call once both ports are open. */
  start(): void;
  /** Names of the leases that this node holds, such as `job/draft`, for heartbeats. */
  heldLeases(): string[];
  /** Data for the operator service. */
  jobs(): MessageInitShape<typeof JobStatusSchema>[];
  /** Whether a worker failed to load weights and must get no work. */
  isOutOfService(pool: string, worker: string): boolean;
  /** Gives every lease away; part of a planned stop. Resolves when all are given away or after `limitMs`. */
  handOver(limitMs: number): Promise<void>;
}

/** Bytes of a step's submission: a fraction of what the node may keep. */
const MAX_STEP_FRACTION = 0.25;

/** Between lists of the weight records, in ms: bound on how long another job's publication may stay unnoticed. */
const RECORDS_INTERVAL_MS = 2000;

type Entry = JobEntry | PoolEntry;

/** Keeps one entry for each job and pool of engines in the tables. */
class TrainingService implements Training {
  readonly #context: TrainingContext;

  readonly #options: TrainingOptions;

  readonly #store = new DisposableStore();

  /** Lease name → entry and the part of the tables from which it was made. Bounded by the tables. */
  readonly #entries = new Map<string, { readonly entry: Entry; readonly madeFrom: string }>();

  readonly #api: TrainerApi;

  #leaving = false;

  constructor(options: TrainingOptions) {
    const { settings, metrics, clock } = options;
    this.#options = options;
    const newOperationId = newId;
    const records = this.#store.add(
      new WeightRecords({ ...options, newOperationId, intervalMs: RECORDS_INTERVAL_MS }),
    );
    this.#context = {
      ...options,
      clock,
      newOperationId,
      records,
      metrics: createTrainingMetrics(metrics.registry),
      timing: {
        ttlMs: settings.timing.leaseTtlMs,
        renewIntervalMs: settings.timing.leaseRenewIntervalMs,
        marginMs: settings.timing.leaseMarginMs,
      },
      budget: new ByteBudget(settings.limits.maxSampleBytes),
      restart: (name, error) => this.#restart(name, error),
    };
    const { self } = options.membership;
    this.#api = new TrainerApi({
      findJob: (name) => {
        const { entry } = this.#entries.get(`job/${name}`) ?? {};
        return entry instanceof JobEntry ? entry : undefined;
      },
      ownAddress: () => `${self.host}:${self.peerPort}`,
      forwarder: this.#store.add(new OwnerForwarder(options.tracing)),
      maxStepBytes: settings.limits.maxSampleBytes * MAX_STEP_FRACTION,
    });
  }

  readonly callerHandler: RequestHandler = (request, response) =>
    this.#api.callerHandler(request, response);

  readonly peerHandler: RequestHandler = (request, response) =>
    this.#api.peerHandler(request, response);

  start(): void {
    const { tables, settings } = this.#options;
    const observer = this.#store.add(
      new LeaseObserver({
        ...this.#context,
        intervalMs: settings.timing.leaseRenewIntervalMs,
        onLease: (name, object) => this.#entries.get(name)?.entry.lease.observe(object),
      }),
    );
    void observer.run();
    void this.#context.records.run();
    this.#store.add(tables.changes$.subscribe((next) => this.#reconcile(next)));
  }

  heldLeases(): string[] {
    const held = [...this.#entries].filter(([, { entry }]) => entry.lease.isHeld());
    return held.map(([name]) => name);
  }

  jobs(): MessageInitShape<typeof JobStatusSchema>[] {
    const { records } = this.#context;
    return [...this.#entries.values()].flatMap(({ entry }) => {
      if (!(entry instanceof JobEntry)) return [];
      const { name, pool, lease } = entry;
      const state = entry.state();
      const holder = lease.holder();
      return {
        name,
        pool,
        owner: holder?.name,
        fencing: holder?.fencing,
        weightVersion: records.published(pool).at(-1),
        nextPosition: state?.nextPosition,
        acknowledgedPosition: state?.acknowledged,
        stepsInFlight: state?.stepsInFlight,
      };
    });
  }

  isOutOfService(pool: string, worker: string): boolean {
    return this.#context.records.isOutOfService(pool, worker);
  }

  async handOver(limitMs: number): Promise<void> {
    this.#leaving = true;
    const names = [...this.#entries.keys()];
    const given = Promise.all(names.map((name) => this.#giveAway(name)));
    await new Promise<void>((resolve) => {
      const timer = this.#options.clock.schedule(limitMs, resolve);
      void given.then(() => {
        timer[Symbol.dispose]();
        resolve();
      });
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#leaving = true;
    const entries = [...this.#entries.values()];
    this.#entries.clear();
    await Promise.all(entries.map(({ entry }) => entry.stop()));
    await this.#store[Symbol.asyncDispose]();
  }

  #reconcile({ routes, pools }: ResolvedTables): void {
    if (this.#leaving) return;
    const wanted = new Map<string, { madeFrom: string; make: () => Entry }>();
    for (const { pool, job } of routes) {
      if (job === undefined) continue;
      const spec: JobSpec = { pool, job };
      wanted.set(`job/${job.name}`, {
        madeFrom: JSON.stringify(spec),
        make: () => new JobEntry(this.#context, spec),
      });
    }
    for (const pool of pools.values()) {
      if (pool.protocol !== Protocol.MODEL_ENGINE) continue;
      wanted.set(`pool/${pool.name}`, {
        madeFrom: JSON.stringify([pool.rollout, pool.fencing]),
        make: () => new PoolEntry(this.#context, pool),
      });
    }
    for (const [name, { madeFrom }] of this.#entries) {
      if (wanted.get(name)?.madeFrom !== madeFrom) void this.#giveAway(name);
    }
    for (const [name, { madeFrom, make }] of wanted) {
      if (this.#entries.has(name)) continue;
      const entry = make();
      this.#entries.set(name, { entry, madeFrom });
      entry.run().catch((error: unknown) => this.#restart(name, error));
    }
  }

  /** A new owner gets a new fencing number; the old one may have left anything half done. */
  #restart(name: string, error: unknown): void {
    this.#options.logger.error('lease-owner-failed', { lease: name, message: messageOf(error) });
    const given = this.#giveAway(name);
    const tables = this.#options.tables.current();
    if (tables) this.#reconcile(tables);
    given.catch((failure: unknown) =>
      this.#options.logger.warn('lease-not-given-away', {
        lease: name,
        message: messageOf(failure),
      }),
    );
  }

  /** Ends an entry and gives its lease away. A changed job then gets a new owner with a new fencing number. */
  async #giveAway(name: string): Promise<void> {
    const { entry } = this.#entries.get(name) ?? {};
    if (entry === undefined) return;
    if (!this.#leaving) this.#entries.delete(name);
    await entry.handOver();
    await entry.run();
    await entry.stop();
  }
}

/** Assembles training. `start` must be called before the handlers find any job. */
export const assembleTraining = (options: TrainingOptions): Training =>
  new TrainingService(options);
