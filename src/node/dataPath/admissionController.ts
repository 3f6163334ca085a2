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
  /** Requests of all pools in progress or waiting on this node. */
  readonly maxConcurrent: number;
  readonly metrics: Pick<Metrics, 'inFlight' | 'queued'>;
}

/** How long a computed capacity is used, in ms; large pools make computing it for each request costly. */
const CAPACITY_CACHE_TTL_MS = 20;

/** Candidates that are compared for one request; beyond this a random part of the pool is looked at. */
const MAX_CANDIDATES = 64;

/** Admits requests of callers and of training to the workers of the pools. */
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
   * Waits for a slot at the pool's workers.
   *
   * @example
   *   using slot = await controller.admit({ pool: 'triage-lm', priority: 'training', maxWaitMs: 30_000 });
   *   const worker = slot.choose();
   *
   * @throws AdmissionError when the request is refused
   */
  async admit(request: AdmissionRequest): Promise<WorkerSlot> {
    const slot = await this.#admission.admit(request);
    return new WorkerSlot(slot, this.#options.inFlight, (choice) =>
      this.#select(request.pool, choice),
    );
  }

  /** Gives waiting requests the slots that a new load report or a table change has made free. */
  poolChanged(pool: string): void {
    this.#cachedLimits.delete(pool);
    this.#admission.poolChanged(pool);
  }

  /** Requests of all pools in progress or waiting. */
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

  /** Requests that this node may have at the worker, beside those of others. */
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
    // Rooms shrink with late reports. A request that holds a slot then goes to a busy worker, which queues it.
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

  /** All workers of a small pool; of a large one a random run of neighbours and the holder of the prefix. */
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
