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
import type { Lease } from './leaseManager.ts';
import type { WeightRecords } from './weightRecords.ts';
import { Notifier } from '../../shared/notifier.ts';

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
   * Delay before the first order, in ms. An order that the previous holder sent at the end of its term may still reach
   * engines that ignore the fencing token.
   */
  readonly firstOrderDelayMs: number;
  /** Called in each round with the number of workers that are out of service. */
  readonly onOutOfService?: (count: number) => void;
}

/** Interval between polls of the workers while a version is being loaded, in ms. */
const BUSY_INTERVAL_MS = 250;

/** Poll interval while every worker has the version, in ms. Finds workers that restarted or got orders from others. */
const IDLE_INTERVAL_MS = 3000;

/** Time within which an engine must start an order, in ms. It is shortened to the remaining time of the lease. */
const ORDER_DEADLINE_MS = 2000;

/** Maximum number of concurrent calls for load reports or orders. */
const MAX_CONCURRENT_CALLS = 64;

/** Owner of one pool under one fencing token: orders its workers to load the published weight version. */
export class PoolOwner {
  readonly #options: PoolOwnerOptions;

  readonly #rollout: WeightRollout;

  readonly #fencing: number;

  readonly #notifier: Notifier;

  #stopped = false;

  #ordersInProgress = 0;

  constructor(options: PoolOwnerOptions) {
    this.#options = options;
    this.#fencing = options.lease.fencing;
    this.#rollout = new WeightRollout(options);
    this.#notifier = new Notifier(options.clock);
  }

  async run(): Promise<void> {
    await this.#notifier.wait(this.#options.firstOrderDelayMs);
    while (!this.#stopped) {
      try {
        if (this.#mayAct()) await this.#runRound();
      } catch (error) {
        this.#options.logger.warn('weight-round-failed', { message: messageOf(error) });
      }
      if (this.#stopped) return;
      const waitMs = this.#rollout.settled ? IDLE_INTERVAL_MS : BUSY_INTERVAL_MS;
      await Promise.race([this.#notifier.wait(waitMs), this.#options.records.changes.wait(waitMs)]);
    }
  }

  /** Stops sending orders. Resolves once no order is in progress. */
  async stop(): Promise<void> {
    this.#stopped = true;
    this.#notifier.notify();
    while (this.#ordersInProgress > 0) await this.#notifier.wait(BUSY_INTERVAL_MS);
  }

  #mayAct(): boolean {
    const { lease } = this.#options;
    return !this.#stopped && lease.isHeld() && lease.fencing === this.#fencing;
  }

  async #runRound(): Promise<void> {
    const { records, pool, clock, workers, onOutOfService } = this.#options;
    const currentWorkers = workers();
    const reports = await this.#inParallel(currentWorkers, (worker) => this.#fetchReport(worker));
    const desired = records.desired(pool);
    if (desired === undefined || !this.#mayAct()) return;
    const orders = this.#rollout.next(desired.version, reports, clock.monotonicMs());
    const byName = new Map(currentWorkers.map((worker) => [worker.name, worker]));
    await this.#inParallel(orders, async (order) => {
      const worker = byName.get(order.name);
      if (worker) await this.#sendOrder(worker, order, desired.uri);
    });
    const outOfService = [...this.#rollout.outOfService].sort();
    onOutOfService?.(outOfService.length);
    if (this.#mayAct()) await records.setOutOfService(pool, outOfService);
  }

  async #fetchReport(worker: WorkerEndpoint): Promise<WorkerWeightReport> {
    const { name } = worker;
    try {
      const { state, weightVersion } = await this.#options.engine.load(worker);
      return { name, state, loaded: weightVersion };
    } catch {
      return { name, state: 'unreachable', loaded: undefined };
    }
  }

  async #sendOrder(worker: WorkerEndpoint, order: RolloutOrder, uri: string): Promise<void> {
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
        strategy: order.mode,
      });
      if (result.status === 'fenced') {
        logger.warn('order-fenced', { pool, own: this.#fencing, seen: result.fencing });
      }
    } catch (error) {
      logger.warn('order-failed', { pool, message: messageOf(error) });
    } finally {
      this.#ordersInProgress -= 1;
      this.#notifier.notify();
    }
  }

  // eslint-disable-next-line class-methods-use-this
  async #inParallel<T, R>(items: readonly T[], run: (item: T) => Promise<R>): Promise<R[]> {
    const results: R[] = [];
    for (let at = 0; at < items.length; at += MAX_CONCURRENT_CALLS) {
      results.push(...(await Promise.all(items.slice(at, at + MAX_CONCURRENT_CALLS).map(run))));
    }
    return results;
  }
}
