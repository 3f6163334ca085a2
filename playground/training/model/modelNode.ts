import { silentLogger } from '../../../src/node/observability/logger.ts';
import type { TtlStart, LeaseTiming } from '../../../src/node/decisions/lease.ts';
import type { LedgerRules } from '../../../src/node/decisions/ledgerRules.ts';
import { neverDuplicate, orderLongestFirst } from '../../../src/node/decisions/stepPlan.ts';
import { selectLeastLoadedOfTwo } from '../../../src/node/decisions/workerSelection.ts';
import { ByteBudget } from '../../../src/shared/byteBudget.ts';
import { JobOwner, type JobOwnerOptions } from '../../../src/node/training/jobOwner.ts';
import { noOwner } from '../../../src/node/training/jobRefusals.ts';
import { LeaseManager } from '../../../src/node/training/leaseManager.ts';
import { LeaseObserver } from '../../../src/node/training/leaseObserver.ts';
import { WeightRecords } from '../../../src/node/training/weightRecords.ts';
import { WorkerSlots } from '../../../src/node/training/workerSlots.ts';
import type { Clock } from '../../../src/shared/clock.ts';
import type { Random } from '../../../src/shared/random.ts';
import type { ModelPlatform } from './modelPlatform.ts';
import { ModelProcess } from './modelProcess.ts';

export interface ModelNodeOptions extends Pick<
  JobOwnerOptions,
  'job' | 'engine' | 'maxStaleness' | 'windowLimit' | 'onHandOver' | 'commitIntervalMs'
> {
  readonly name: string;
  readonly virtualClock: Clock;
  readonly random: Random;
  readonly platform: ModelPlatform;
  readonly timing: LeaseTiming;
  readonly workers: readonly string[];
  /** Maximum number of samples that one worker generates at the same time. @default 1 */
  readonly maxPerWorker?: number;
  readonly rules?: LedgerRules;
  readonly ttlStart?: TtlStart;
}

export const MODEL_POOL = 'pool';

let idCount = 0;

const newId = (): string => {
  idCount += 1;
  return String(idCount);
};

/** One incarnation of a node that contends for the lease of one job. Consists of the production classes. */
export class ModelNode {
  readonly name: string;

  readonly process: ModelProcess;

  readonly lease: LeaseManager;

  readonly records: WeightRecords;

  owner: JobOwner | undefined;

  readonly #options: ModelNodeOptions;

  constructor(options: ModelNodeOptions) {
    const { name, virtualClock, platform, timing, job, ttlStart } = options;
    this.name = name;
    this.#options = options;
    this.process = new ModelProcess(virtualClock);
    const clock = this.process;
    const common = {
      platform: platform.clientOf(clock),
      clock,
      logger: silentLogger,
      newOperationId: newId,
    };
    this.records = new WeightRecords({ ...common, intervalMs: 1000 });
    this.lease = new LeaseManager({
      ...common,
      name: `job/${job}`,
      timing,
      self: { holder: name, incarnation: newId(), address: name },
      extraWaitMs: () => 0,
      ttlStart,
      onAcquired: () => this.#startOwner(),
      onLost: () => this.#stopOwner(),
    });
    const observer = new LeaseObserver({
      ...common,
      intervalMs: timing.renewIntervalMs,
      onLease: (lease, object) => {
        if (lease === `job/${job}`) this.lease.observe(object);
      },
    });
    void this.lease.run();
    void observer.run();
    void this.records.run();
  }

  /**
   * Returns the job owner of this node.
   *
   * @throws RequestError if this node does not hold the lease of the job
   */
  jobOwner(): JobOwner {
    if (!this.owner || !this.lease.isHeld()) throw noOwner();
    return this.owner;
  }

  #startOwner(): void {
    this.#stopOwner();
    const { platform, random, workers, maxPerWorker = 1 } = this.#options;
    const clock = this.process;
    this.owner = new JobOwner({
      ...this.#options,
      pool: MODEL_POOL,
      lease: this.lease,
      platform: platform.clientOf(clock),
      clock,
      logger: silentLogger,
      newOperationId: newId,
      budget: new ByteBudget(Infinity),
      records: this.records,
      slots: new WorkerSlots({
        workers: () =>
          workers.map((name) => ({ name, address: name, availabilityZone: 'worcester' })),
        maxPerWorker: () => maxPerWorker,
        select: selectLeastLoadedOfTwo,
        availabilityZone: 'worcester',
        clock,
        random,
      }),
      score: () => Promise.resolve({}),
      maxStepsInFlight: 2,
      order: orderLongestFirst,
      duplicate: neverDuplicate,
    });
    void this.owner.run();
  }

  #stopOwner(): void {
    this.owner?.stop();
    this.owner = undefined;
  }
}
