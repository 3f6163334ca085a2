import type { Clock } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import { invariant } from '../../shared/invariants.ts';
import type { EngineApi } from '../dataPath/engineApi.ts';
import {
  type RolloutOrder,
  WeightRollout,
  type WeightRolloutOptions,
  type WorkerWeightReport,
} from '../decisions/weightRollout.ts';
import type { WorkerEndpoint } from '../membership/membershipView.ts';
import type { Logger } from '../observability/logger.ts';
import type { Lease } from './leaseKeeper.ts';
import type { WeightRecords } from './weightRecords.ts';
import { WakeUp } from '../../shared/wakeUp.ts';

export interface PoolOwnerOptions extends WeightRolloutOptions {
  readonly pool: string;
  readonly lease: Lease;
  readonly engine: Pick<EngineApi, 'load' | 'order'>;
  readonly workers: () => readonly WorkerEndpoint[];
  readonly records: Pick<WeightRecords, 'desired' | 'refresh' | 'setOutOfService' | 'changes'>;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly newOperationId: () => string;
  /**
   * Time before the first order, in ms: an order that the last holder sent at its end may still arrive at engines that
   * do not look at the fencing number.
   */
  readonly settleMs: number;
  /** Told of the number of workers that are left out. */
  readonly onOutOfService?: (count: number) => void;
}

/** Between looks at the workers while a version is being loaded, in ms. */
const BUSY_INTERVAL_MS = 250;

/** Between looks while every worker has the version, in ms. Finds workers that were restarted or ordered by others. */
const IDLE_INTERVAL_MS = 3000;

/** An engine must start an order within this time, and before the end of the lease, in ms. */
const ORDER_DEADLINE_MS = 2000;

/** Load reports and orders in progress at the same time. */
const MAX_CALLS = 64;

/** Orders the workers of one pool to load the published weight version, under one fencing number. */
export class PoolOwner {
  readonly #options: PoolOwnerOptions;

  readonly #rollout: WeightRollout;

  readonly #fencing: number;

  readonly #wakeUp: WakeUp;

  #stopped = false;

  #ordersInProgress = 0;

  constructor(options: PoolOwnerOptions) {
    this.#options = options;
    this.#fencing = options.lease.fencing;
    this.#rollout = new WeightRollout(options);
    this.#wakeUp = new WakeUp(options.clock);
  }

  async run(): Promise<void> {
    await this.#wakeUp.wait(this.#options.settleMs);
    while (!this.#stopped) {
      try {
        if (this.#mayAct()) await this.#round();
      } catch (error) {
        this.#options.logger.warn('weight-round-failed', { message: messageOf(error) });
      }
      if (this.#stopped) return;
      const waitMs = this.#rollout.settled ? IDLE_INTERVAL_MS : BUSY_INTERVAL_MS;
      await Promise.race([this.#wakeUp.wait(waitMs), this.#options.records.changes.wait(waitMs)]);
    }
  }

  /** Gives no further order. Resolves when no order is on its way any more. */
  async stop(): Promise<void> {
    this.#stopped = true;
    this.#wakeUp.notify();
    while (this.#ordersInProgress > 0) await this.#wakeUp.wait(BUSY_INTERVAL_MS);
  }

  #mayAct(): boolean {
    const { lease } = this.#options;
    return !this.#stopped && lease.isHeld() && lease.fencing === this.#fencing;
  }

  async #round(): Promise<void> {
    const { records, pool, clock, workers, onOutOfService } = this.#options;
    const listed = workers();
    const reports = await this.#inParallel(listed, (worker) => this.#report(worker));
    const desired = records.desired(pool);
    if (desired === undefined || !this.#mayAct()) return;
    const orders = this.#rollout.next(desired.version, reports, clock.monotonicMs());
    const byName = new Map(listed.map((worker) => [worker.name, worker]));
    await this.#inParallel(orders, async (order) => {
      const worker = byName.get(order.name);
      if (worker) await this.#order(worker, order, desired.uri);
    });
    const outOfService = [...this.#rollout.outOfService].sort();
    onOutOfService?.(outOfService.length);
    if (this.#mayAct()) await records.setOutOfService(pool, outOfService);
  }

  async #report(worker: WorkerEndpoint): Promise<WorkerWeightReport> {
    const { name } = worker;
    try {
      const { state, weightVersion } = await this.#options.engine.load(worker);
      return { name, state, loaded: weightVersion };
    } catch {
      return { name, state: 'unreachable', loaded: undefined };
    }
  }

  async #order(worker: WorkerEndpoint, order: RolloutOrder, uri: string): Promise<void> {
    const { engine, lease, newOperationId, logger, pool } = this.#options;
    if (!this.#mayAct()) return;
    const remainingMs = lease.remainingMs();
    invariant(remainingMs > 0, 'order-within-lease', { remainingMs });
    this.#ordersInProgress += 1;
    try {
      const result = await engine.order(worker, {
        orderId: newOperationId(),
        kind: 'load_weights',
        version: order.version,
        uri,
        fencing: this.#fencing,
        deadlineMs: Math.min(remainingMs, ORDER_DEADLINE_MS),
        strategy: order.manner,
      });
      if (result.status === 'fenced') {
        logger.warn('order-fenced', { pool, own: this.#fencing, seen: result.fencing });
      }
    } catch (error) {
      logger.warn('order-failed', { pool, message: messageOf(error) });
    } finally {
      this.#ordersInProgress -= 1;
      this.#wakeUp.notify();
    }
  }

  // eslint-disable-next-line class-methods-use-this
  async #inParallel<T, R>(items: readonly T[], run: (item: T) => Promise<R>): Promise<R[]> {
    const results: R[] = [];
    for (let at = 0; at < items.length; at += MAX_CALLS) {
      results.push(...(await Promise.all(items.slice(at, at + MAX_CALLS).map(run))));
    }
    return results;
  }
}
