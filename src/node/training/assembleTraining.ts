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
import { ByteBudget } from '../../shared/byteBudget.ts';
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

/** The training service of one node. */
export interface Training extends AsyncDisposable {
  readonly callerHandler: RequestHandler;
  readonly peerHandler: RequestHandler;
  /** Starts contending for leases. Must be called once both ports are open. */
  start(): void;
  /** Names of the leases that this node holds, such as `job/draft`, for heartbeats. */
  heldLeases(): string[];
  /** Status of the jobs, for the operator service. */
  jobs(): MessageInitShape<typeof JobStatusSchema>[];
  /** Whether a worker must not get work because it repeatedly failed to load weights. */
  isOutOfService(pool: string, worker: string): boolean;
  /** Releases every lease, as part of a graceful shutdown. Resolves once all are released or after `limitMs`. */
  releaseLeases(limitMs: number): Promise<void>;
}

/** Maximum size of a step submission, as a fraction of the node's byte budget. */
const MAX_STEP_FRACTION = 0.25;

/** Interval between lists of the weight records, in ms. Bounds how long a publication of another job goes unnoticed. */
const RECORDS_INTERVAL_MS = 2000;

type Entry = JobEntry | PoolEntry;

/** Runs one entry for each job and each pool of model engines in the tables. */
class TrainingService implements Training {
  readonly #context: TrainingContext;

  readonly #options: TrainingOptions;

  readonly #store = new DisposableStore();

  /** Lease name → entry and the part of the tables, as JSON, from which it was created. Bounded by the tables. */
  readonly #entries = new Map<string, { readonly entry: Entry; readonly specJson: string }>();

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
      selfAddress: () => `${self.host}:${self.peerPort}`,
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

  async releaseLeases(limitMs: number): Promise<void> {
    this.#leaving = true;
    const names = [...this.#entries.keys()];
    const released = Promise.all(names.map((name) => this.#release(name)));
    await new Promise<void>((resolve) => {
      const timer = this.#options.clock.schedule(limitMs, resolve);
      void released.then(() => {
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
    const wanted = new Map<string, { specJson: string; make: () => Entry }>();
    for (const { pool, job } of routes) {
      if (job === undefined) continue;
      const spec: JobSpec = { pool, job };
      wanted.set(`job/${job.name}`, {
        specJson: JSON.stringify(spec),
        make: () => new JobEntry(this.#context, spec),
      });
    }
    for (const pool of pools.values()) {
      if (pool.protocol !== Protocol.MODEL_ENGINE) continue;
      wanted.set(`pool/${pool.name}`, {
        specJson: JSON.stringify([pool.rollout, pool.fencing]),
        make: () => new PoolEntry(this.#context, pool),
      });
    }
    for (const [name, { specJson }] of this.#entries) {
      if (wanted.get(name)?.specJson !== specJson) void this.#release(name);
    }
    for (const [name, { specJson, make }] of wanted) {
      if (this.#entries.has(name)) continue;
      const entry = make();
      this.#entries.set(name, { entry, specJson });
      entry.run().catch((error: unknown) => this.#restart(name, error));
    }
  }

  /** Replaces an entry whose owner failed, possibly with incomplete work. The new owner gets a new fencing token. */
  #restart(name: string, error: unknown): void {
    this.#options.logger.error('lease-owner-failed', { lease: name, message: messageOf(error) });
    const released = this.#release(name);
    const tables = this.#options.tables.current();
    if (tables) this.#reconcile(tables);
    released.catch((failure: unknown) =>
      this.#options.logger.warn('lease-release-failed', {
        lease: name,
        message: messageOf(failure),
      }),
    );
  }

  /** Stops an entry and releases its lease. A changed job then gets a new owner with a new fencing token. */
  async #release(name: string): Promise<void> {
    const { entry } = this.#entries.get(name) ?? {};
    if (entry === undefined) return;
    if (!this.#leaving) this.#entries.delete(name);
    await entry.release();
    await entry.run();
    await entry.stop();
  }
}

/** Creates the training service. Its handlers find no jobs until `start` has been called. */
export const assembleTraining = (options: TrainingOptions): Training =>
  new TrainingService(options);
