import { Fencing, RolloutStrategy } from '../../gen/hyssoppulley/v1/tables_pb.ts';
import {
  allAtOnce,
  interruptResume,
  interruptResumeForCallers,
  rolling,
  type RolloutPolicy,
} from '../decisions/weightRollout.ts';
import type { ResolvedPool } from '../tables/resolveTables.ts';
import type { Lease, LeaseManager } from './leaseManager.ts';
import { PoolOwner } from './poolOwner.ts';
import { createLeaseManager, type TrainingContext } from './trainingContext.ts';

/** Policy of a strategy. A pool that also serves callers keeps serving while it loads, unless `ALL_AT_ONCE` is set. */
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

/** Maximum number of loads started per second. The target is 11,000 workers within 9 s, including the loading time. */
const LOADS_PER_SECOND = 2000;

/** Time after which a load counts as failed, in ms. */
const LOAD_TIMEOUT_MS = 60_000;

/** Maximum number of load orders for one version before a worker is put out of service. */
const MAX_LOAD_ATTEMPTS = 3;

/** One pool of model engines: contends for its lease and runs a `PoolOwner` while the lease is held. */
export class PoolEntry {
  readonly #context: TrainingContext;

  readonly #pool: ResolvedPool;

  readonly #lease: LeaseManager;

  #owner: PoolOwner | undefined;

  constructor(context: TrainingContext, pool: ResolvedPool) {
    this.#context = context;
    this.#pool = pool;
    this.#lease = createLeaseManager(context, `pool/${pool.name}`, {
      onAcquired: (lease) => this.#startOwner(lease),
      onLost: () => void this.#stopOwner(),
    });
  }

  get lease(): LeaseManager {
    return this.#lease;
  }

  run(): Promise<void> {
    return this.#lease.run();
  }

  /** Waits for orders in progress to end, then releases the lease; `run` resolves once it is released. */
  async release(): Promise<void> {
    await this.#stopOwner();
    this.#lease.release();
  }

  async stop(): Promise<void> {
    this.#lease.stop();
    await this.#stopOwner();
  }

  #startOwner(lease: Lease): void {
    void this.#stopOwner();
    const { membership, metrics, tables, timing, restart } = this.#context;
    const { name, fencing, rollout } = this.#pool;
    const owner = new PoolOwner({
      ...this.#context,
      pool: name,
      lease,
      workers: () => membership.workersOf(name),
      firstOrderDelayMs: fencing === Fencing.IGNORED && lease.fencing > 1 ? timing.marginMs : 0,
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

  async #stopOwner(): Promise<void> {
    const owner = this.#owner;
    this.#owner = undefined;
    await owner?.stop();
  }
}
