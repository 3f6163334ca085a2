import { orderLongestFirst, duplicateSlowSamples } from '../decisions/stepPlan.ts';
import { selectLeastLoadedOfTwo } from '../decisions/workerSelection.ts';
import type { ResolvedRoute } from '../tables/resolveTables.ts';
import { JobOwner, type JobState } from './jobOwner.ts';
import type { Lease, LeaseManager } from './leaseManager.ts';
import { ScorerClient } from './scorerClient.ts';
import type { ServedJob } from './trainerApi.ts';
import { createLeaseManager, type TrainingContext } from './trainingContext.ts';
import type { WeightPublication } from './trainerMessages.ts';
import type { PublishResult } from './weightRecords.ts';
import { WorkerSlots } from './workerSlots.ts';

/** Minimum interval between two writes of a job's ledger, in ms. At the target size, nine jobs make 9 writes per s. */
const COMMIT_INTERVAL_MS = 1000;

/** Time limit of one call to a scorer, in ms. */
const SCORER_TIMEOUT_MS = 10_000;

export interface JobSpec extends Pick<ResolvedRoute, 'pool'> {
  readonly job: NonNullable<ResolvedRoute['job']>;
}

/** One job of the tables: contends for its lease and runs a `JobOwner` while the lease is held. */
export class JobEntry implements ServedJob {
  readonly #context: TrainingContext;

  readonly #spec: JobSpec;

  readonly #lease: LeaseManager;

  readonly #scorer: ScorerClient;

  #owner: JobOwner | undefined;

  constructor(context: TrainingContext, spec: JobSpec) {
    this.#context = context;
    this.#spec = spec;
    this.#scorer = new ScorerClient({
      scorers: () =>
        spec.job.scorerPool ? context.membership.workersOf(spec.job.scorerPool) : undefined,
      timeoutMs: SCORER_TIMEOUT_MS,
    });
    this.#lease = createLeaseManager(context, `job/${spec.job.name}`, {
      onAcquired: (lease) => this.#startOwner(lease),
      onLost: () => this.#stopOwner(),
    });
  }

  get name(): string {
    return this.#spec.job.name;
  }

  get pool(): string {
    return this.#spec.pool;
  }

  get lease(): LeaseManager {
    return this.#lease;
  }

  get owner(): JobOwner | undefined {
    return this.#owner;
  }

  /** State of the job; undefined unless this node owns it now. */
  state(): JobState | undefined {
    try {
      return this.#owner?.state();
    } catch {
      return undefined;
    }
  }

  run(): Promise<void> {
    return this.#lease.run();
  }

  publish(publication: WeightPublication): Promise<PublishResult> {
    return this.#context.records.publish(this.#spec.pool, this.name, publication);
  }

  /** Releases the lease; `run` resolves once it is released. */
  release(): void {
    this.#lease.release();
  }

  stop(): void {
    this.#lease.stop();
    this.#stopOwner();
    this.#scorer[Symbol.dispose]();
  }

  #startOwner(lease: Lease): void {
    this.#stopOwner();
    const { pool, job } = this.#spec;
    const { membership, clock, random, metrics, restart } = this.#context;
    const owner = new JobOwner({
      ...this.#context,
      job: job.name,
      pool,
      lease,
      slots: new WorkerSlots({
        workers: () => this.#workers(),
        maxPerWorker: () => this.#maxPerWorker(),
        select: selectLeastLoadedOfTwo,
        availabilityZone: membership.self.availabilityZone,
        clock,
        random,
      }),
      score: this.#scorer.score,
      maxStaleness: () => this.#pool()?.objective.maxStalenessVersions ?? 0,
      maxStepsInFlight: job.maxStepsInFlight,
      order: orderLongestFirst,
      duplicate: duplicateSlowSamples,
      commitIntervalMs: COMMIT_INTERVAL_MS,
      onHandOver: ({ voided }) =>
        metrics.handedOver.inc({ job: job.name, kind: voided ? 'void' : 'sample' }),
    });
    this.#owner = owner;
    owner.run().catch((error: unknown) => restart(`job/${job.name}`, error));
  }

  #stopOwner(): void {
    this.#owner?.stop();
    this.#owner = undefined;
  }

  #pool() {
    return this.#context.tables.current()?.pools.get(this.#spec.pool);
  }

  #workers() {
    const { membership, records } = this.#context;
    const { pool } = this.#spec;
    return membership.workersOf(pool).filter(({ name }) => !records.isOutOfService(pool, name));
  }

  /** Maximum number of the job's samples in progress on one worker: its share of the worker's slots. */
  #maxPerWorker(): number {
    const { job, pool } = this.#spec;
    const routes = this.#context.tables.current()?.routes ?? [];
    const totalShares = routes
      .filter((route) => route.pool === pool && route.job)
      .reduce((sum, route) => sum + (route.job?.share ?? 0), 0);
    const slots = this.#pool()?.maxConcurrentPerWorker ?? 1;
    return Math.max(1, Math.floor((slots * job.share) / Math.max(totalShares, job.share)));
  }
}
