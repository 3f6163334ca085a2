import { orderLongestFirst, duplicateSlowSamples } from '../decisions/stepPlan.ts';
import { selectLeastLoadedOfTwo } from '../decisions/workerSelection.ts';
import type { ResolvedRoute } from '../tables/resolveTables.ts';
import { JobOwner, type JobState } from './jobOwner.ts';
import type { Lease, LeaseKeeper } from './leaseKeeper.ts';
import { ScorerClient } from './scorerClient.ts';
import type { ServedJob } from './trainerApi.ts';
import { makeLeaseKeeper, type TrainingContext } from './trainingContext.ts';
import type { WeightPublication } from './trainerMessages.ts';
import type { PublishResult } from './weightRecords.ts';
import { WorkerSlots } from './workerSlots.ts';

/** Shortest time between two writes of a job's ledger, in ms. At the target size nine jobs make nine writes a second. */
const COMMIT_INTERVAL_MS = 1000;

/** Time for one call of a scorer, in ms. */
const SCORER_TIMEOUT_MS = 10_000;

export interface JobSpec extends Pick<ResolvedRoute, 'pool'> {
  readonly job: NonNullable<ResolvedRoute['job']>;
}

/** One job of the tables: contends for its lease, and owns it while the lease is held. */
export class JobEntry implements ServedJob {
  readonly #context: TrainingContext;

  readonly #spec: JobSpec;

  readonly #keeper: LeaseKeeper;

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
    this.#keeper = makeLeaseKeeper(context, `job/${spec.job.name}`, {
      onAcquired: (lease) => this.#own(lease),
      onLost: () => this.#disown(),
    });
  }

  get name(): string {
    return this.#spec.job.name;
  }

  get pool(): string {
    return this.#spec.pool;
  }

  get lease(): LeaseKeeper {
    return this.#keeper;
  }

  get owner(): JobOwner | undefined {
    return this.#owner;
  }

  /** State of the job when this node owns it now. */
  state(): JobState | undefined {
    try {
      return this.#owner?.state();
    } catch {
      return undefined;
    }
  }

  run(): Promise<void> {
    return this.#keeper.run();
  }

  publish(publication: WeightPublication): Promise<PublishResult> {
    return this.#context.records.publish(this.#spec.pool, this.name, publication);
  }

  /** Gives the lease away; `run` ends once it is given away. */
  handOver(): void {
    this.#keeper.handOver();
  }

  stop(): void {
    this.#keeper.stop();
    this.#disown();
    this.#scorer[Symbol.dispose]();
  }

  #own(lease: Lease): void {
    this.#disown();
    const { pool, job } = this.#spec;
    const { membership, clock, random, metrics, restart } = this.#context;
    const owner = new JobOwner({
      ...this.#context,
      job: job.name,
      pool,
      lease,
      slots: new WorkerSlots({
        workers: () => this.#workers(),
        perWorker: () => this.#perWorker(),
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

  #disown(): void {
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

  /** The job's share of each worker's places. */
  #perWorker(): number {
    const { job, pool } = this.#spec;
    const routes = this.#context.tables.current()?.routes ?? [];
    const shares = routes
      .filter((route) => route.pool === pool && route.job)
      .reduce((sum, route) => sum + (route.job?.share ?? 0), 0);
    const places = this.#pool()?.maxConcurrentPerWorker ?? 1;
    return Math.max(1, Math.floor((places * job.share) / Math.max(shares, job.share)));
  }
}
