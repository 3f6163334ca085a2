import type { Clock } from '../../shared/clock.ts';
import type { Random } from '../../shared/random.ts';
import { InFlightCounts } from '../decisions/inFlightCounts.ts';
import { selectWorkerByDefault, type WorkerSelector } from '../decisions/workerSelection.ts';
import { type WorkerResult, PassiveHealthCheck } from '../decisions/passiveHealthCheck.ts';
import { AnswerTimes } from '../decisions/placement/answerTimes.ts';
import { selectByPredictedCompletion } from '../decisions/placement/predictedCompletion.ts';
import { WorkerReports } from '../decisions/placement/workerReports.ts';
import type { PoolOccupancy } from '../decisions/sharing/poolRoom.ts';
import type { GatewayRoute } from './gatewayTables.ts';
import type { WorkerLoad } from './workerCalls.ts';
import type { RegisteredWorker, WorkerRegistry } from './workerRegistry.ts';

export interface LoadBalancerOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly registry: WorkerRegistry;
  /** Availability zone of this node. */
  readonly availabilityZone: string;
  /** Used for all pools. @default by whether the pool's workers report their load */
  readonly select?: WorkerSelector;
}

/** Assumed time of the work of a route without answers so far, as a fraction of its target latency. */
const ASSUMED_WORK_SHARE = 0.5;

type PlacedRoute = Pick<GatewayRoute, 'name' | 'targetLatencyMs'>;

/** One request on a worker. */
export interface Placement {
  readonly worker: string;
  readonly route: string;
  /** When the request was sent, monotonic ms. */
  readonly sentMs: number;
  /** What was known of the worker, for the log. */
  readonly known: Readonly<Record<string, number | undefined>>;
}

/** Chooses workers by this node's in-flight counts, the load that workers report and the results of past requests. */
export class LoadBalancer {
  readonly healthCheck = new PassiveHealthCheck();

  readonly #options: LoadBalancerOptions;

  readonly #inFlight = new InFlightCounts();

  /** Requests in flight of this node by worker, oldest first. */
  readonly #placements = new Map<string, Set<Placement>>();

  readonly #reports = new WorkerReports();

  readonly #answerTimes = new AnswerTimes();

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

  /**
   * Chooses one of the workers by availability zone and load, or by predicted completion where workers report their load.
   *
   * @param route - route of the request that is placed
   */
  choose(usable: readonly RegisteredWorker[], route: PlacedRoute): RegisteredWorker | undefined {
    const { clock, availabilityZone, random, select } = this.#options;
    const nowMs = clock.monotonicMs();
    const candidates = usable.map((worker) => this.#candidateOf(worker, nowMs));
    const context = { availabilityZone, random };
    if (select === undefined && usable.some(({ id }) => this.#reports.has(id))) {
      const { targetLatencyMs } = route;
      const placement = { ...context, targetLatencyMs, workMs: this.workMs(route) };
      return selectByPredictedCompletion(candidates, placement)?.worker;
    }
    return (select ?? selectWorkerByDefault)(candidates, context)?.worker;
  }

  /** What this node believes about the load of a pool; undefined while none of its workers has reported its load. */
  occupancyOf(pool: string): PoolOccupancy | undefined {
    const { clock, registry } = this.#options;
    const registered = registry.usable(pool);
    if (!registered.some(({ id }) => this.#reports.has(id))) return undefined;
    const nowMs = clock.monotonicMs();
    const workers = this.healthCheck.selectUsable(registered, nowMs).map((worker) => {
      const report = this.#reports.of(worker.id, nowMs);
      const inFlight = this.#inFlight.of(worker.id);
      return { slots: report?.slots ?? worker.slots, load: inFlight + (report?.others ?? 0) };
    });
    const inFlight = registered.reduce((sum, { id }) => sum + this.#inFlight.of(id), 0);
    return { workers, inFlight };
  }

  /** Usual time of a route's work at this node, in ms. */
  workMs({ name, targetLatencyMs }: PlacedRoute): number {
    return this.#answerTimes.usualMs(name) ?? targetLatencyMs * ASSUMED_WORK_SHARE;
  }

  /** Counts a request in flight on a worker. Each call is paired with one of `release`. */
  begin(worker: string, route: PlacedRoute): Placement {
    const sentMs = this.#options.clock.monotonicMs();
    const report = this.#reports.of(worker, sentMs);
    const known = {
      workMs: Math.round(this.workMs(route)),
      inFlight: this.#inFlight.of(worker),
      others: report?.others,
      pacePercent: report?.pace === undefined ? undefined : Math.round(100 * report.pace),
      reportAgeMs: report === undefined ? undefined : Math.round(report.ageMs),
    };
    const placement = { worker, route: route.name, sentMs, known };
    this.#inFlight.add(worker);
    const placements = this.#placements.get(worker) ?? new Set();
    this.#placements.set(worker, placements.add(placement));
    return placement;
  }

  /** Number of this node's requests in flight on a worker. */
  inFlightOn(worker: string): number {
    return this.#inFlight.of(worker);
  }

  /** Ends a request that `begin` counted and records its result, unless it was abandoned. */
  release(
    placement: Placement,
    result: WorkerResult | 'abandoned',
    load: WorkerLoad | undefined,
  ): void {
    const { worker, route, sentMs } = placement;
    const nowMs = this.#options.clock.monotonicMs();
    if (load !== undefined) {
      this.#reports.record(worker, load, this.#inFlight.of(worker), nowMs);
    }
    this.#inFlight.remove(worker);
    const placements = this.#placements.get(worker);
    placements?.delete(placement);
    if (placements?.size === 0) this.#placements.delete(worker);
    if (result !== 'refused' && result !== 'failed') {
      const complete = result === 'answered';
      this.#answerTimes.record({ route, worker, tookMs: nowMs - sentMs, complete }, nowMs);
    }
    if (result !== 'abandoned') this.healthCheck.record(worker, result, nowMs);
  }

  /** Drops the state of workers that are no longer registered. */
  sweep(): void {
    const { registry } = this.#options;
    const isKnown = (id: string) => registry.find(id) !== undefined;
    this.healthCheck.retain(isKnown);
    this.#reports.retain(isKnown);
    this.#answerTimes.retain(isKnown);
  }

  #candidateOf(worker: RegisteredWorker, nowMs: number) {
    const { id, availabilityZone } = worker;
    const report = this.#reports.of(id, nowMs);
    const [oldest] = this.#placements.get(id) ?? [];
    return {
      ...{ worker, name: id, availabilityZone, slots: report?.slots ?? worker.slots },
      inFlight: this.#inFlight.of(id),
      reportedRunning: report?.others,
      pace: report?.pace,
      paceAgeMs: report?.ageMs,
      slowness: this.#answerTimes.slownessOf(id, nowMs),
      oldestInFlightMs: oldest === undefined ? 0 : nowMs - oldest.sentMs,
    };
  }
}
