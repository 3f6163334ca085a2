import type { Clock } from '../../shared/clock.ts';
import type { Random } from '../../shared/random.ts';
import { Admission, type AdmissionRequest } from '../decisions/admission.ts';
import type { PoolLimits } from '../decisions/admissionPool.ts';
import type { InFlightCounts } from '../decisions/inFlightCounts.ts';
import type { WorkerSelector } from '../decisions/workerSelection.ts';
import type { MembershipView, TablesView, WorkerEndpoint } from '../membership/membershipView.ts';
import type { Metrics } from '../observability/metrics.ts';
import type { PrefixHints } from './prefixHints.ts';
import type { WorkerLoads } from './workerLoads.ts';
import { type WorkerChoice, WorkerSlot } from './workerSlot.ts';

export interface AdmissionControllerOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly tables: TablesView;
  readonly membership: MembershipView;
  readonly loads: Pick<WorkerLoads, 'isUsable' | 'externalRequestsAt'>;
  readonly inFlight: InFlightCounts;
  readonly prefixHints: PrefixHints;
  readonly selectWorker: WorkerSelector;
  /** Limit on the requests of all pools together that are in progress or queued on this node. */
  readonly maxConcurrent: number;
  readonly metrics: Pick<Metrics, 'inFlight' | 'queued'>;
}

/** How long a computed pool capacity is reused, in ms. Computing it for each request is costly in large pools. */
const CAPACITY_CACHE_TTL_MS = 20;

/** Workers compared for one request. In a larger pool a random sample of this size is compared. */
const MAX_CANDIDATES = 64;

/** Admits caller and training requests to the workers of each pool. */
export class AdmissionController {
  readonly #options: AdmissionControllerOptions;

  readonly #admission: Admission;

  readonly #cachedLimits = new Map<string, PoolLimits & { readonly computedMs: number }>();

  constructor(options: AdmissionControllerOptions) {
    this.#options = options;
    this.#admission = new Admission({
      clock: options.clock,
      random: options.random,
      maxConcurrent: options.maxConcurrent,
      limitsOf: (pool) => this.#limitsOf(pool),
      onChange: (pool, { inProgress, queued }) => {
        options.metrics.inFlight.set({ pool }, inProgress);
        options.metrics.queued.set({ pool, priority: 'caller' }, queued.caller);
        options.metrics.queued.set({ pool, priority: 'training' }, queued.training);
      },
    });
  }

  /**
   * Waits for a slot in the pool.
   *
   * @example
   *   using slot = await controller.admit({ pool: 'triage-lm', priority: 'training', maxWaitMs: 30_000 });
   *   const worker = slot.choose();
   *
   * @throws AdmissionError when the request is rejected
   */
  async admit(request: AdmissionRequest): Promise<WorkerSlot> {
    const slot = await this.#admission.admit(request);
    return new WorkerSlot(slot, this.#options.inFlight, (choice) =>
      this.#select(request.pool, choice),
    );
  }

  /** Admits queued requests after a load report or a change of the tables has freed slots. */
  poolChanged(pool: string): void {
    this.#cachedLimits.delete(pool);
    this.#admission.assignFreeSlots(pool);
  }

  /** Number of requests in progress or queued, over all pools. */
  get total(): number {
    return this.#admission.total;
  }

  #limitsOf(pool: string): PoolLimits {
    const nowMs = this.#options.clock.monotonicMs();
    const cached = this.#cachedLimits.get(pool);
    if (cached !== undefined && nowMs - cached.computedMs < CAPACITY_CACHE_TTL_MS) return cached;
    const resolved = this.#options.tables.current()?.pools.get(pool);
    if (resolved === undefined) {
      this.#cachedLimits.delete(pool);
      return { capacity: 0, maxQueued: 0 };
    }
    let capacity = 0;
    for (const worker of this.#options.membership.workersOf(pool)) {
      capacity += this.#workerCapacity(worker.address, resolved.maxConcurrentPerWorker);
    }
    const limits = { capacity, maxQueued: resolved.maxQueued, computedMs: nowMs };
    this.#cachedLimits.set(pool, limits);
    return limits;
  }

  /** Number of requests that this node may have in progress at the worker, given the load from elsewhere. */
  #workerCapacity(address: string, maxConcurrent: number): number {
    const { loads } = this.#options;
    if (!loads.isUsable(address)) return 0;
    return Math.max(0, maxConcurrent - (loads.externalRequestsAt(address) ?? 0));
  }

  #select(pool: string, { prefixKeys = [], exclude }: WorkerChoice): WorkerEndpoint | undefined {
    const { membership, prefixHints, selectWorker, random, inFlight, loads } = this.#options;
    const maxConcurrent = this.#options.tables.current()?.pools.get(pool)?.maxConcurrentPerWorker;
    if (maxConcurrent === undefined) return undefined;
    const holderAddress = prefixHints.find(prefixKeys);
    const usable = this.#sampleCandidates(membership.workersOf(pool), holderAddress).filter(
      ({ address }) => loads.isUsable(address),
    );
    const untried = exclude ? usable.filter(({ address }) => !exclude.has(address)) : usable;
    const eligible = untried.length > 0 ? untried : usable;
    const withCapacity = eligible.filter(
      ({ address }) => inFlight.of(address) < this.#workerCapacity(address, maxConcurrent),
    );
    // A load report that arrives after admission can lower the capacity. An admitted request is then sent to a worker
    // without free capacity, which queues it.
    const candidates = (withCapacity.length > 0 ? withCapacity : eligible).map((worker) => ({
      ...worker,
      inFlight: inFlight.of(worker.address),
      reportedRunning: loads.externalRequestsAt(worker.address),
      holdsPrefix: worker.address === holderAddress,
    }));
    const chosen = selectWorker(candidates, {
      availabilityZone: membership.self.availabilityZone,
      random,
    });
    if (chosen && prefixKeys.length > 0) prefixHints.record(prefixKeys, chosen.address);
    return chosen;
  }

  /** All workers of a small pool; for a large one, a contiguous run from a random start plus the prefix holder. */
  #sampleCandidates(
    workers: readonly WorkerEndpoint[],
    holderAddress: string | undefined,
  ): readonly WorkerEndpoint[] {
    if (workers.length <= MAX_CANDIDATES) return workers;
    const start = Math.floor(this.#options.random() * workers.length);
    const sampled = Array.from(
      { length: MAX_CANDIDATES },
      (_, index) => workers[(start + index) % workers.length],
    ).filter((worker) => worker !== undefined);
    const holder = workers.find(({ address }) => address === holderAddress);
    return holder && !sampled.includes(holder) ? [...sampled, holder] : sampled;
  }
}
