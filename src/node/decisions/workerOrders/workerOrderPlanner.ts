import type { ScalingBounds } from '../../gateway/gatewayTables.ts';
import { type OrderedWorker, type OrderResult, OrderSubject } from './orderedWorkers.ts';
import type { PoolDemand } from './poolDemand.ts';
import { type Capacity, steadyNeed, type WorkerNeed } from './workerNeed.ts';
import { type OrderZone, spotWithReserve, type WorkerDistribution } from './workerTargets.ts';

/** Price of one call, in seconds of an ordinary worker in a zone of price 1. */
export const CALL_PRICE = 3;

/** A change must pay within this time, in ms: load seldom stays the same for longer. */
const PAYBACK_MS = 15_000;

/** Share of the need that may be missing of the reserve before more is ordered, so that small changes order nothing. */
const RESERVE_SLACK = 0.3;

/** The same share of all workers of the best distribution; the loss of one zone of three exceeds it. */
const SURPLUS_SLACK = 0.3;

/** Time for which demand must be known before workers are ordered away, in ms: that of a step, so that all are seen. */
const MIN_DEMAND_HISTORY_MS = 4500;

export interface PlannerInput {
  /** Monotonic time. */
  readonly nowMs: number;
  readonly bounds: ScalingBounds;
  /** All registered workers of the pool. */
  readonly workers: readonly OrderedWorker[];
  /** Undefined while the demand is not known. */
  readonly demand: PoolDemand | undefined;
}

/** An order for a number of workers of one kind in one zone. */
export interface WorkerOrder {
  readonly availabilityZone: string;
  readonly spot: boolean;
  readonly count: number;
  readonly reason: string;
}

export interface WorkerOrderPlannerOptions {
  /** @default steady load with headroom and due work */
  readonly needOf?: WorkerNeed;
  /** @default spot workers with a reserve, and a floor of ordinary ones */
  readonly distribute?: WorkerDistribution;
}

interface Change {
  readonly subject: OrderSubject;
  readonly count: number;
}

const sumOf = <T>(items: readonly T[], valueOf: (item: T) => number): number =>
  items.reduce((sum, item) => sum + valueOf(item), 0);

/** Price of a worker per second. */
const unitPrice = (
  { zone, spot }: OrderSubject,
  { zonePrices, spotPriceFactor = 1 }: ScalingBounds,
): number => (zonePrices.get(zone) ?? 1) * (spot ? spotPriceFactor : 1);

/** Price of a change per second; negative if it saves. */
const priceOf = (change: Change, bounds: ScalingBounds): number =>
  (change.count - change.subject.ordered) * unitPrice(change.subject, bounds);

/** Whether changes save more within `PAYBACK_MS` than they cost, and than it costs to revert them. */
const isCheaper = (changes: readonly Change[], bounds: ScalingBounds): boolean => {
  const savedPerSecond = -sumOf(changes, (change) => priceOf(change, bounds));
  return (savedPerSecond * PAYBACK_MS) / 1000 > 2 * CALL_PRICE * changes.length;
};

/**
 * Decides which numbers of workers are ordered for one pool. More are ordered at once when work would be late; fewer, or
 * others, only if that saves more within `PAYBACK_MS` than the calls cost, and only as far as the workers that serve at
 * this moment can be spared.
 *
 * Addresses training steps that arrive in bursts and waste their whole value when they are late, starts that take half
 * of the time until a step is due, and reclaims of all spot workers of a zone.
 */
export class WorkerOrderPlanner {
  readonly #needOf: WorkerNeed;

  readonly #distribute: WorkerDistribution;

  /** By zone and kind; bounded by the zones of the tables and registrations. */
  readonly #subjects = new Map<string, OrderSubject>();

  #startedAtMs: number | undefined;

  #demandSinceMs: number | undefined;

  #need = 0;

  constructor({
    needOf = steadyNeed(),
    distribute = spotWithReserve(),
  }: WorkerOrderPlannerOptions = {}) {
    this.#needOf = needOf;
    this.#distribute = distribute;
  }

  /** Number of workers that the pool needed at the last decision. */
  get need(): number {
    return this.#need;
  }

  subjects(): OrderSubject[] {
    return [...this.#subjects.values()];
  }

  /** Decides what to order now. Each returned order counts as sent; its answer must be passed to `recordResult`. */
  decide({ nowMs, bounds, workers, demand }: PlannerInput): WorkerOrder[] {
    this.#startedAtMs ??= nowMs;
    this.#observe(workers, bounds, nowMs);
    if (demand === undefined) return [];
    if (demand.batches.length > 0) this.#demandSinceMs ??= nowMs;
    const capacity = this.#capacity(bounds);
    this.#need = this.#needOf(demand, capacity);
    const isShort = capacity.serving + capacity.starting < this.#need;
    // The former holder may have sent orders that have not taken effect yet.
    if (nowMs - this.#startedAtMs < bounds.startMs && !isShort) return [];
    const changes = this.#worthwhile(this.#wanted(bounds, nowMs), bounds, isShort, nowMs);
    return changes.map(({ subject, count }) => {
      const reason = this.#reasonOf(subject, count, isShort);
      subject.recordSent(count, nowMs);
      return { availabilityZone: subject.zone, spot: subject.spot, count, reason };
    });
  }

  recordResult(
    { availabilityZone, spot, count }: WorkerOrder,
    result: OrderResult,
    nowMs: number,
  ): void {
    this.#subjects.get(`${availabilityZone}/${spot}`)?.recordResult(count, result, nowMs);
  }

  #observe(
    workers: readonly OrderedWorker[],
    { zonePrices, startMs }: ScalingBounds,
    nowMs: number,
  ) {
    const zones = new Set([
      ...zonePrices.keys(),
      ...workers.map(({ availabilityZone }) => availabilityZone),
    ]);
    for (const zone of zones) {
      for (const spot of [false, true]) {
        const own = workers.filter(
          (worker) => worker.availabilityZone === zone && worker.spot === spot,
        );
        const key = `${zone}/${spot}`;
        const registered = own.filter(({ draining }) => !draining).length;
        const subject = this.#subjects.get(key) ?? new OrderSubject(zone, spot, registered);
        this.#subjects.set(key, subject);
        subject.observe(own, startMs, nowMs);
      }
    }
  }

  #capacity({ startMs }: ScalingBounds): Capacity {
    const subjects = this.subjects();
    return {
      // Workers that an order in progress takes away no longer count.
      serving: sumOf(subjects, ({ registered, ordered }) => Math.min(registered, ordered)),
      starting: sumOf(subjects, ({ starting }) => starting),
      startMs,
    };
  }

  /** Differences between the best distribution and the current order. */
  #wanted(bounds: ScalingBounds, nowMs: number): Change[] {
    const subjectOf = (zone: string, spot: boolean) => this.#subjects.get(`${zone}/${spot}`);
    const names = [...new Set(this.subjects().map(({ zone }) => zone))];
    const zones = names.map((name): OrderZone => {
      const ordinary = subjectOf(name, false);
      const spot = subjectOf(name, true);
      return {
        name,
        price: bounds.zonePrices.get(name) ?? 1,
        ordinary: ordinary?.ordered ?? 0,
        spot: spot?.ordered ?? 0,
        ordinaryBlocked: ordinary?.isBlocked(nowMs) ?? false,
        spotBlocked: spot?.isBlocked(nowMs) ?? false,
      };
    });
    return this.#distribute(this.#need, zones, bounds).flatMap((target) =>
      [false, true].flatMap((spot) => {
        const subject = subjectOf(target.zone, spot);
        const count = spot ? target.spot : target.ordinary;
        return subject === undefined || count === subject.ordered ? [] : [{ subject, count }];
      }),
    );
  }

  /** The part of the wanted changes that is sent now. */
  #worthwhile(
    wanted: readonly Change[],
    bounds: ScalingBounds,
    isShort: boolean,
    nowMs: number,
  ): Change[] {
    const hasHistory =
      this.#demandSinceMs !== undefined && nowMs - this.#demandSinceMs >= MIN_DEMAND_HISTORY_MS;
    if (!isShort && !hasHistory) return [];
    const addsMore =
      isShort ||
      this.#lacksReserve(bounds) ||
      this.#lacksSurplus(wanted) ||
      isCheaper(wanted, bounds);
    const open = wanted.filter(
      ({ subject }) =>
        subject.maySend(nowMs) && (isShort || subject.sinceOrderMs(nowMs) >= bounds.startMs),
    );
    const fewer = isShort ? [] : this.#spare(open, bounds);
    return addsMore ? [...fewer, ...this.#withinMaximum(open, fewer, bounds)] : fewer;
  }

  /** Whether the ordered workers would not suffice after the reclaim of the zone with the most spot workers. */
  #lacksReserve({ zonePrices }: ScalingBounds): boolean {
    const subjects = this.subjects();
    const spots = subjects.filter(({ spot }) => spot).map(({ ordered }) => ordered);
    const remaining = sumOf(subjects, ({ ordered }) => ordered) - Math.max(0, ...spots);
    return zonePrices.size > 1 && remaining < this.#need * (1 - RESERVE_SLACK);
  }

  /** Whether far fewer workers are ordered than the best distribution has, as after the reclaim of a zone. */
  #lacksSurplus(wanted: readonly Change[]): boolean {
    const ordered = sumOf(this.subjects(), (subject) => subject.ordered);
    const added = sumOf(wanted, ({ subject, count }) => count - subject.ordered);
    return ordered < (ordered + added) * (1 - SURPLUS_SLACK);
  }

  /** Reductions that leave as many workers serving as are needed, the most expensive ones first. */
  #spare(changes: readonly Change[], bounds: ScalingBounds): Change[] {
    let spare = this.#capacity(bounds).serving - this.#need;
    return changes
      .filter(({ subject, count }) => count < subject.ordered)
      .sort((left, right) => unitPrice(right.subject, bounds) - unitPrice(left.subject, bounds))
      .flatMap(({ subject, count }) => {
        const removed = Math.min(subject.ordered - count, Math.max(0, spare));
        spare -= removed;
        const next = { subject, count: subject.ordered - removed };
        return isCheaper([next], bounds) ? [next] : [];
      });
  }

  /** Additions, as far as the zone's maximum for both kinds together leaves room for them. */
  #withinMaximum(
    changes: readonly Change[],
    fewer: readonly Change[],
    { maxWorkers }: ScalingBounds,
  ): Change[] {
    const counts = new Map(this.subjects().map((subject) => [subject, subject.ordered]));
    for (const { subject, count } of fewer) counts.set(subject, count);
    return changes.flatMap(({ subject, count }) => {
      if (count <= subject.ordered) return [];
      const others = [...counts].filter(
        ([other]) => other.zone === subject.zone && other !== subject,
      );
      const room = maxWorkers - sumOf(others, ([, ordered]) => ordered);
      const next = Math.min(count, room);
      if (next <= subject.ordered) return [];
      counts.set(subject, next);
      return [{ subject, count: next }];
    });
  }

  #reasonOf(subject: OrderSubject, count: number, isShort: boolean): string {
    if (isShort) return `${this.#need} workers needed, fewer serve or start`;
    return count < subject.ordered
      ? `${this.#need} workers needed, others suffice or are cheaper`
      : `${this.#need} workers needed, reserve for a reclaim or cheaper workers`;
  }
}
