import type { Clock } from '../../shared/clock.ts';
import type { Random } from '../../shared/random.ts';
import { InFlightCounts } from '../decisions/inFlightCounts.ts';
import { selectWorkerByDefault, type WorkerSelector } from '../decisions/workerSelection.ts';
import { type WorkerResult, PassiveHealthCheck } from '../decisions/passiveHealthCheck.ts';
import type { GatewayRoute } from './gatewayTables.ts';
import type { WorkerLoad } from './workerCalls.ts';
import type { RegisteredWorker, WorkerRegistry } from './workerRegistry.ts';

export interface LoadBalancerOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly registry: WorkerRegistry;
  /** Availability zone of this node. */
  readonly availabilityZone: string;
  /** @default selectWorkerByDefault */
  readonly select?: WorkerSelector;
}

/** Maximum age at which a worker's load report is still used, in ms. */
const LOAD_REPORT_MAX_AGE_MS = 500;

/** Chooses workers by this node's in-flight counts, the load that workers report and the results of past requests. */
export class LoadBalancer {
  readonly healthCheck = new PassiveHealthCheck();

  readonly #options: LoadBalancerOptions;

  readonly #inFlight = new InFlightCounts();

  readonly #loads = new Map<string, { readonly others: number; readonly atMs: number }>();

  constructor(options: LoadBalancerOptions) {
    this.#options = options;
  }

  /** Picks one of the route's pools at random, in proportion to the weights. */
  choosePool({ pools }: GatewayRoute): string | undefined {
    const total = pools.reduce((sum, { weight }) => sum + weight, 0);
    let point = this.#options.random() * total;
    for (const { pool, weight } of pools) {
      point -= weight;
      if (point < 0) return pool;
    }
    return pools.at(-1)?.pool;
  }

  /**
   * The workers of a pool that a request may be sent to.
   *
   * @param tried - ids of workers that were already tried
   * @param allowTried - whether tried workers are included when the pool has no other
   */
  candidates(
    pool: string,
    tried: ReadonlySet<string>,
    allowTried: boolean,
  ): readonly RegisteredWorker[] {
    const { clock, registry } = this.#options;
    const all = registry.usable(pool);
    const untried = all.filter(({ id }) => !tried.has(id));
    if (untried.length === 0 && !allowTried) return [];
    return this.healthCheck.selectUsable(untried.length > 0 ? untried : all, clock.monotonicMs());
  }

  /** Chooses one of the workers by load and availability zone. */
  choose(usable: readonly RegisteredWorker[]): RegisteredWorker | undefined {
    const { clock, availabilityZone, random, select } = this.#options;
    const nowMs = clock.monotonicMs();
    const candidates = usable.map((worker) => ({
      worker,
      name: worker.id,
      availabilityZone: worker.availabilityZone,
      inFlight: this.#inFlight.of(worker.id),
      reportedRunning: this.#reportedOthers(worker.id, nowMs),
    }));
    const chosen = (select ?? selectWorkerByDefault)(candidates, { availabilityZone, random });
    return chosen?.worker;
  }

  /** Counts a request in flight on a worker. Each call is paired with one of `release`. */
  begin(worker: string): void {
    this.#inFlight.add(worker);
  }

  /** Number of this node's requests in flight on a worker. */
  inFlightOn(worker: string): number {
    return this.#inFlight.of(worker);
  }

  /** Ends a request that `begin` counted and records its result, unless it was abandoned. */
  release(worker: string, result: WorkerResult | 'abandoned', load: WorkerLoad | undefined): void {
    const nowMs = this.#options.clock.monotonicMs();
    if (load !== undefined) {
      const others = Math.max(0, load.running + load.waiting - this.#inFlight.of(worker));
      this.#loads.set(worker, { others, atMs: nowMs });
    }
    this.#inFlight.remove(worker);
    if (result !== 'abandoned') this.healthCheck.record(worker, result, nowMs);
  }

  /** Drops the state of workers that are no longer registered. */
  sweep(): void {
    const { registry } = this.#options;
    this.healthCheck.retain((id) => registry.find(id) !== undefined);
    for (const id of this.#loads.keys()) {
      if (registry.find(id) === undefined) this.#loads.delete(id);
    }
  }

  #reportedOthers(worker: string, nowMs: number): number | undefined {
    const load = this.#loads.get(worker);
    return load !== undefined && nowMs - load.atMs < LOAD_REPORT_MAX_AGE_MS
      ? load.others
      : undefined;
  }
}
