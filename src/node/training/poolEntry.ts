import { Fencing, RolloutStrategy } from '../../gen/hyssoppulley/v1/tables_pb.ts';
import {
  allAtOnce,
  interruptResume,
  interruptResumeForCallers,
  rolling,
  type RolloutPolicy,
} from '../decisions/weightRollout.ts';
import type { ResolvedPool } from '../tables/resolveTables.ts';
import type { Lease, LeaseKeeper } from './leaseKeeper.ts';
import { PoolOwner } from './poolOwner.ts';
import { makeLeaseKeeper, type TrainingContext } from './trainingContext.ts';

/** Policy of a strategy. A pool that callers use as well keeps serving while it loads, unless all at once is asked for. */
const policyOf = (strategy: RolloutStrategy, servesCallers: boolean): RolloutPolicy => {
  switch (strategy) {
    case RolloutStrategy.ALL_AT_ONCE:
      return allAtOnce;
    case RolloutStrategy.INTERRUPT_RESUME:
      return servesCallers ? interruptResumeForCallers : interruptResume;
    default:
      return rolling;
  }
};

/** Loads that may begin in one second: the target is 11,000 workers within 9 s, and some of that is for loading. */
const LOADS_PER_SECOND = 2000;

/** A load that takes longer counts as failed, in ms. */
const LOAD_TIMEOUT_MS = 60_000;

/** Orders of one version given to a worker before it is left out of service. */
const MAX_LOAD_ATTEMPTS = 3;

/** One pool of model engines: contends for its lease, and orders its workers while the lease is held. */
export class PoolEntry {
  readonly #context: TrainingContext;

  readonly #pool: ResolvedPool;

  readonly #keeper: LeaseKeeper;

  #owner: PoolOwner | undefined;

  constructor(context: TrainingContext, pool: ResolvedPool) {
    this.#context = context;
    this.#pool = pool;
    this.#keeper = makeLeaseKeeper(context, `pool/${pool.name}`, {
      onAcquired: (lease) => this.#own(lease),
      onLost: () => void this.#disown(),
    });
  }

  get lease(): LeaseKeeper {
    return this.#keeper;
  }

  run(): Promise<void> {
    return this.#keeper.run();
  }

  /** Lets orders on their way end, then gives the lease away; `run` ends once it is given away. */
  async handOver(): Promise<void> {
    await this.#disown();
    this.#keeper.handOver();
  }

  async stop(): Promise<void> {
    this.#keeper.stop();
    await this.#disown();
  }

  #own(lease: Lease): void {
    void this.#disown();
    const { membership, metrics, tables, timing, restart } = this.#context;
    const { name, fencing, rollout } = this.#pool;
    const owner = new PoolOwner({
      ...this.#context,
      pool: name,
      lease,
      workers: () => membership.workersOf(name),
      settleMs: fencing === Fencing.IGNORED && lease.fencing > 1 ? timing.marginMs : 0,
      policy: (...state) => {
        const routes = tables.current()?.routes ?? [];
        const servesCallers = routes.some((route) => !route.job && route.pool === name);
        return policyOf(rollout, servesCallers)(...state);
      },
      loadsPerSecond: LOADS_PER_SECOND,
      burst: LOADS_PER_SECOND,
      loadTimeoutMs: LOAD_TIMEOUT_MS,
      maxAttempts: MAX_LOAD_ATTEMPTS,
      onOutOfService: (count) => metrics.outOfService.set({ pool: name }, count),
    });
    this.#owner = owner;
    owner.run().catch((error: unknown) => restart(`pool/${name}`, error));
  }

  async #disown(): Promise<void> {
    const owner = this.#owner;
    this.#owner = undefined;
    await owner?.stop();
  }
}
