/** A zone in which workers may be ordered. */
export interface OrderZone {
  readonly name: string;
  /** Price of an ordinary worker per second. */
  readonly price: number;
  /** Ordinary workers in the current order. */
  readonly ordinary: number;
  /** Spot workers in the current order. */
  readonly spot: number;
  /** Whether no additional ordinary workers are available at the moment. */
  readonly ordinaryBlocked: boolean;
  /** Whether no additional spot workers are available at the moment. */
  readonly spotBlocked: boolean;
}

/** Bounds on the workers in each zone, both kinds together. */
export interface TargetBounds {
  readonly minWorkers: number;
  readonly maxWorkers: number;
  /** Price of a spot worker relative to an ordinary one; undefined: there are none. */
  readonly spotPriceFactor: number | undefined;
}

export interface ZoneTarget {
  readonly zone: string;
  readonly ordinary: number;
  readonly spot: number;
}

/** Distributes a number of needed workers over zones and kinds. */
export type WorkerDistribution = (
  need: number,
  zones: readonly OrderZone[],
  bounds: TargetBounds,
) => ZoneTarget[];

/** Share of the needed workers that are ordinary ones, which no reclaim takes; `docs/policies.md` compares others. */
export const ORDINARY_FLOOR = 0.1;

/**
 * Spot workers are added up to this multiple of the need: at a fifth of the price, slots that are idle between two bursts
 * cost less than a trainer that waits; `docs/policies.md` compares others.
 */
export const SPOT_SURPLUS = 3;

/** Value of a worker of that surplus relative to an ordinary worker: above the price of spot workers, below the others'. */
const SURPLUS_VALUE = 0.5;

const sumOf = <T>(items: readonly T[], valueOf: (item: T) => number): number =>
  items.reduce((sum, item) => sum + valueOf(item), 0);

/** Baseline for comparison: the current order. */
export const unchanged: WorkerDistribution = (_, zones) =>
  zones.map(({ name, ordinary, spot }) => ({ zone: name, ordinary, spot }));

/** Ordinary workers only, one after the other in the zone with the fewest of them, the cheapest of these first. */
export const ordinaryOnly: WorkerDistribution = (need, zones, { minWorkers, maxWorkers }) => {
  const counts = new Map(zones.map(({ name }) => [name, minWorkers]));
  const countOf = ({ name }: OrderZone) => counts.get(name) ?? 0;
  const byPrice = [...zones].sort((left, right) => left.price - right.price);
  for (let total = minWorkers * zones.length; total < need; total += 1) {
    const open = byPrice.filter(
      (zone) =>
        countOf(zone) < maxWorkers && !(zone.ordinaryBlocked && countOf(zone) >= zone.ordinary),
    );
    const fewest = Math.min(...open.map(countOf));
    const next = open.find((zone) => countOf(zone) === fewest);
    if (next === undefined) break;
    counts.set(next.name, countOf(next) + 1);
  }
  return zones.map((zone) => ({ zone: zone.name, ordinary: countOf(zone), spot: 0 }));
};

/** The cheapest ordinary workers in addition to the given spot workers: `count` of them, and at least the minimum. */
const withOrdinary = (
  targets: readonly (ZoneTarget & { readonly source: OrderZone })[],
  count: number,
  { minWorkers, maxWorkers }: TargetBounds,
) => {
  let left = count;
  const atLeast = targets.map((target) => {
    const ordinary = Math.max(0, minWorkers - target.spot);
    left -= ordinary;
    return { ...target, ordinary };
  });
  return atLeast
    .sort((one, other) => one.source.price - other.source.price)
    .map((target) => {
      const limit = target.source.ordinaryBlocked
        ? Math.max(target.ordinary, Math.min(target.source.ordinary, maxWorkers - target.spot))
        : maxWorkers - target.spot;
      const added = Math.max(0, Math.min(left, limit - target.ordinary));
      left -= added;
      return { ...target, ordinary: target.ordinary + added };
    });
};

export interface SpotOptions {
  /** Share of the need that is ordinary workers. @default `ORDINARY_FLOOR` */
  readonly ordinaryShare?: number;
  /** Multiple of the need up to which spot workers are added. @default `SPOT_SURPLUS` */
  readonly surplus?: number;
  /** Whether the need must be covered after the reclaim of any zone. @default true */
  readonly reserve?: boolean;
}

/**
 * Distributes the workers so that the needed number remains when all spot workers of any one zone are reclaimed, at the
 * lowest price: equally many spot workers in every zone, and ordinary ones for what these do not cover, at least the
 * given share. While a zone has no spot workers to offer, the others cover the need without that reserve, because
 * ordinary workers that bridge the few seconds would cost more than they save.
 *
 * Addresses reclaims of all spot workers of a zone with 2 to 3 s notice, shorter than a worker takes to start.
 */
export const spotWithReserve =
  ({
    ordinaryShare = ORDINARY_FLOOR,
    surplus = SPOT_SURPLUS,
    reserve = true,
  }: SpotOptions = {}): WorkerDistribution =>
  (need, zones, bounds) => {
    const { spotPriceFactor, maxWorkers } = bounds;
    if (spotPriceFactor === undefined) return ordinaryOnly(need, zones, bounds);
    const hasReserve =
      reserve && zones.length > 1 && zones.every(({ spotBlocked }) => !spotBlocked);
    const floor = Math.ceil(need * ordinaryShare);
    const plans = Array.from({ length: maxWorkers + 1 }, (_, spotPerZone) => {
      const withSpot = zones.map((source) => ({
        source,
        zone: source.name,
        ordinary: 0,
        spot: source.spotBlocked ? Math.min(source.spot, spotPerZone) : spotPerZone,
      }));
      const largest = hasReserve ? spotPerZone : 0;
      const covered = sumOf(withSpot, ({ spot }) => spot) - largest;
      const targets = withOrdinary(withSpot, Math.max(floor, need - covered), bounds);
      const price = sumOf(
        targets,
        ({ ordinary, spot, source }) => source.price * (ordinary + spotPriceFactor * spot),
      );
      const total = sumOf(targets, ({ ordinary, spot }) => ordinary + spot);
      return {
        targets,
        missing: Math.max(0, need - covered - sumOf(targets, ({ ordinary }) => ordinary)),
        cost: price + SURPLUS_VALUE * Math.max(0, need * surplus - total),
      };
    });
    const [best] = plans.sort(
      (left, right) => left.missing - right.missing || left.cost - right.cost,
    );
    return (best?.targets ?? []).map(({ zone, ordinary, spot }) => ({ zone, ordinary, spot }));
  };
