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
import type { WorkerOrderResult } from '../duties/controlCalls.ts';
import type { DutyContext } from '../duties/duty.ts';
import type { GatewayTables, ScalingBounds } from '../gateway/gatewayTables.ts';
import type { RegisteredWorker, WorkerRegistry } from '../gateway/workerRegistry.ts';
import type { Logger } from '../observability/logger.ts';
import type { Metrics } from '../observability/metrics.ts';
import { DECISION_INTERVAL_MS } from './constants.ts';
import type { DemandReports } from './demandReports.ts';

export interface WorkerOrdersDutyOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Pick<Metrics, 'workerOrders' | 'workersNeeded'>;
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

interface PlannedOrder extends PoolState {
  readonly pool: string;
  readonly order: WorkerOrder;
  /** Age of the demand on which the order rests, in ms. */
  readonly demandAgeMs: number;
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

  readonly #context: DutyContext;

  /** By pool; bounded by the pools of the tables. */
  readonly #pools = new Map<string, PoolState>();

  readonly #timer: Disposable;

  constructor(options: WorkerOrdersDutyOptions, context: DutyContext) {
    this.#options = options;
    this.#context = context;
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
    this.#timer[Symbol.dispose]();
  }

  async #decide(): Promise<void> {
    const pools = this.#options.tables()?.pools;
    // Without tables nothing is known about the pools, so the orders stay as they are.
    if (pools === undefined) return;
    for (const name of this.#pools.keys()) {
      if (pools.get(name)?.scaling === undefined) this.#pools.delete(name);
    }
    const byPool = Map.groupBy(this.#options.registry.all(), ({ pool }) => pool);
    const planned = [...pools.values()].flatMap(({ name, scaling }) =>
      scaling === undefined ? [] : this.#plan(name, scaling, byPool.get(name) ?? []),
    );
    if (planned.length === 0) return;
    const mayCall = await this.#context.verify().catch(() => false);
    if (!mayCall || this.#context.signal.aborted) {
      const nowMs = this.#options.clock.monotonicMs();
      for (const { planner, order } of planned) planner.recordResult(order, 'not-sent', nowMs);
      const reason = 'the platform has not confirmed the term, or a call of the former may be late';
      this.#options.logger.debug('worker-orders-withheld', { orders: planned.length, reason });
      return;
    }
    for (const each of planned) void this.#send(each);
  }

  #plan(pool: string, bounds: ScalingBounds, workers: readonly RegisteredWorker[]): PlannedOrder[] {
    const { clock, demands, metrics } = this.#options;
    const nowMs = clock.monotonicMs();
    const state = this.#pools.get(pool) ?? {
      planner: new WorkerOrderPlanner(),
      estimate: new DemandEstimate(),
      reasons: new Map<string, string>(),
    };
    this.#pools.set(pool, state);
    const { planner, estimate } = state;
    const report = demands.find(pool);
    const demand = report && estimate.record(report.slotsPerWorker, report.batches, nowMs);
    const orders = planner.decide({
      ...{ nowMs, bounds, demand },
      workers: workers.map(toOrdered),
    });
    if (demand !== undefined) metrics.workersNeeded.set({ pool }, planner.need);
    const demandAgeMs = report?.ageMs ?? 0;
    return orders.map((order) => ({ ...state, pool, order, demandAgeMs }));
  }

  async #send({ pool, planner, reasons, order, demandAgeMs }: PlannedOrder): Promise<void> {
    const { clock, logger, metrics } = this.#options;
    const { availabilityZone, count, spot, reason } = order;
    const took = new Stopwatch(clock);
    let result: WorkerOrderResult = 'unknown';
    try {
      result = await this.#context.calls.orderWorkers({ pool, availabilityZone, count, spot });
    } catch (error) {
      logger.warn('worker-order-failed', { pool, message: messageOf(error) });
    }
    // The runner of the duty ends the term after `fenced`.
    planner.recordResult(order, result === 'fenced' ? 'refused' : result, clock.monotonicMs());
    if (result === 'accepted') reasons.set(keyOf(availabilityZone, spot), reason);
    metrics.workerOrders.inc({ pool, result });
    logger.info('worker-order', {
      ...{ pool, ...order, term: this.#context.fencing, result, need: planner.need },
      ...{ demandAgeMs: Math.round(demandAgeMs), tookMs: Math.round(took.elapsedMs()) },
    });
  }
}
