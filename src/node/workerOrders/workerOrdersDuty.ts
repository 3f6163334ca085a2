import { create } from '@bufbuild/protobuf';
import type { WorkerOrderStatus } from '../../gen/hyssoppulley/v1/gateway_operator_pb.ts';
import { WorkerOrderStatusSchema } from '../../gen/hyssoppulley/v1/gateway_operator_pb.ts';
import { type Clock, Stopwatch } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import { repeatEvery } from '../../shared/repeat.ts';
import type { OrderedWorker } from '../decisions/workerOrders/orderedWorkers.ts';
import { DemandEstimate } from '../decisions/workerOrders/poolDemand.ts';
import {
  type WorkerOrder,
  WorkerOrderPlanner,
} from '../decisions/workerOrders/workerOrderPlanner.ts';
import type { GatewayTables, ScalingBounds } from '../gateway/gatewayTables.ts';
import type { RegisteredWorker, WorkerRegistry } from '../gateway/workerRegistry.ts';
import type { Logger } from '../observability/logger.ts';
import type { Metrics } from '../observability/metrics.ts';
import { DECISION_INTERVAL_MS } from './constants.ts';
import type { DemandReports } from './demandReports.ts';

/** Answer of the control API to an order. `unknown`: the order may take effect, now or later. */
export type OrderAnswer = 'accepted' | 'fenced' | 'none-available' | 'refused' | 'unknown';

/** The part of the platform's control API that orders workers. */
export interface OrderWorkersCalls {
  orderWorkers(order: {
    readonly pool: string;
    readonly availabilityZone: string;
    readonly count: number;
    readonly spot: boolean;
    readonly holder: string;
    readonly fencing: number;
  }): Promise<OrderAnswer>;
}

/** The term in which this node holds the duty. */
export interface DutyTerm {
  readonly holder: string;
  readonly term: number;
  /** Whether this node still holds the duty, confirmed by the platform within the last 500 ms. */
  readonly verify: () => Promise<boolean>;
  /** Ends the term because the control API has seen a later one. */
  readonly resign: (reason: string) => void;
}

export interface WorkerOrdersDutyOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Pick<Metrics, 'workerOrders' | 'workersNeeded'>;
  readonly calls: OrderWorkersCalls;
  readonly registry: Pick<WorkerRegistry, 'all'>;
  readonly tables: () => GatewayTables | undefined;
  readonly demands: Pick<DemandReports, 'find'>;
}

interface PoolState {
  readonly planner: WorkerOrderPlanner;
  readonly estimate: DemandEstimate;
  /** Reason of the last order, by zone and kind. */
  readonly reasons: Map<string, string>;
}

const keyOf = (zone: string, spot: boolean) => `${zone}/${spot}`;

const toOrdered = ({
  availabilityZone,
  spot = false,
  draining,
  leavesInMs,
}: RegisteredWorker): OrderedWorker => ({
  ...{ availabilityZone, spot, leavesInMs },
  draining: draining || leavesInMs !== undefined,
});

/** Orders workers for the pools with scaling bounds, during one term of the duty. */
export class WorkerOrdersDuty implements Disposable {
  readonly #options: WorkerOrdersDutyOptions;

  readonly #term: DutyTerm;

  /** By pool; bounded by the pools of the tables. */
  readonly #pools = new Map<string, PoolState>();

  readonly #timer: Disposable;

  #ended = false;

  constructor(options: WorkerOrdersDutyOptions, term: DutyTerm) {
    this.#options = options;
    this.#term = term;
    this.#timer = repeatEvery(options.clock, DECISION_INTERVAL_MS, () => this.#decide());
  }

  /** Orders in effect as far as known. */
  statuses(): WorkerOrderStatus[] {
    return [...this.#pools].flatMap(([pool, { planner, reasons }]) =>
      planner.subjects().map(({ zone, spot, ordered, registered }) =>
        create(WorkerOrderStatusSchema, {
          ...{ pool, availabilityZone: zone, spot, ordered, registered },
          reason: reasons.get(keyOf(zone, spot)) ?? 'as registered at the start of the term',
        }),
      ),
    );
  }

  [Symbol.dispose](): void {
    this.#ended = true;
    this.#timer[Symbol.dispose]();
  }

  #decide(): void {
    const pools = this.#options.tables()?.pools;
    // Without tables nothing is known about the pools, so the orders stay as they are.
    if (pools === undefined) return;
    for (const name of this.#pools.keys()) {
      if (pools.get(name)?.scaling === undefined) this.#pools.delete(name);
    }
    const byPool = Map.groupBy(this.#options.registry.all(), ({ pool }) => pool);
    for (const { name, scaling } of pools.values()) {
      if (scaling !== undefined) this.#decideFor(name, scaling, byPool.get(name) ?? []);
    }
  }

  #decideFor(pool: string, bounds: ScalingBounds, workers: readonly RegisteredWorker[]): void {
    const { clock, demands, metrics } = this.#options;
    const nowMs = clock.monotonicMs();
    const state = this.#pools.get(pool) ?? {
      planner: new WorkerOrderPlanner(),
      estimate: new DemandEstimate(),
      reasons: new Map<string, string>(),
    };
    this.#pools.set(pool, state);
    const report = demands.find(pool);
    const demand = report && state.estimate.record(report.slotsPerWorker, report.batches, nowMs);
    const orders = state.planner.decide({
      ...{ nowMs, bounds, demand },
      workers: workers.map(toOrdered),
    });
    if (demand !== undefined) metrics.workersNeeded.set({ pool }, state.planner.need);
    for (const order of orders) {
      state.reasons.set(keyOf(order.availabilityZone, order.spot), order.reason);
      void this.#send(pool, state, order, report?.ageMs);
    }
  }

  async #send(pool: string, { planner }: PoolState, order: WorkerOrder, demandAgeMs = 0) {
    const { clock, logger, metrics } = this.#options;
    const took = new Stopwatch(clock);
    const answer = await this.#call(pool, order);
    if (answer === 'not-sent') {
      planner.recordResult(order, 'refused', clock.monotonicMs());
      logger.info('worker-order-not-sent', { pool, ...order, reason: 'no longer the holder' });
      return;
    }
    planner.recordResult(order, answer === 'fenced' ? 'refused' : answer, clock.monotonicMs());
    metrics.workerOrders.inc({ pool, result: answer });
    logger.info('worker-order', {
      ...{ pool, ...order, term: this.#term.term, result: answer, need: planner.need },
      ...{ demandAgeMs: Math.round(demandAgeMs), tookMs: Math.round(took.elapsedMs()) },
    });
    if (answer !== 'fenced' || this.#ended) return;
    this[Symbol.dispose]();
    this.#term.resign('the control API has seen a later term of worker-orders');
  }

  async #call(pool: string, order: WorkerOrder): Promise<OrderAnswer | 'not-sent'> {
    const { holder, term, verify } = this.#term;
    const { availabilityZone, count, spot } = order;
    let sent = false;
    try {
      if (!(await verify()) || this.#ended) return 'not-sent';
      sent = true;
      return await this.#options.calls.orderWorkers({
        ...{ pool, availabilityZone, count, spot, holder, fencing: term },
      });
    } catch (error) {
      this.#options.logger.warn('worker-order-failed', { pool, message: messageOf(error) });
      return sent ? 'unknown' : 'not-sent';
    }
  }
}
