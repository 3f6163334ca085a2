import type { Random } from '../../shared/random.ts';

/** State of a worker as known when a request is placed. */
export interface WorkerCandidate {
  readonly name: string;
  readonly availabilityZone: string;
  /** Number of this node's requests in progress. */
  readonly inFlight: number;
  /** Other nodes' requests in progress or queued, by the worker's last report; undefined before the first one. */
  readonly reportedRunning?: number;
  /** Whether the worker probably has the request's prompt prefix cached. */
  readonly holdsPrefix?: boolean;
}

export interface SelectionContext {
  /** Availability zone of this node. */
  readonly availabilityZone: string;
  readonly random: Random;
}

/** Chooses a worker. Returns undefined only for an empty list. */
export type WorkerSelector = <T extends WorkerCandidate>(
  candidates: readonly T[],
  context: SelectionContext,
) => T | undefined;

const pickRandom = <T>(items: readonly T[], random: Random): T | undefined =>
  items[Math.floor(random() * items.length)];

/** Baseline for comparison: a random worker. */
export const selectRandom: WorkerSelector = (candidates, { random }) =>
  pickRandom(candidates, random);

/** Baseline for comparison: the workers in turn. */
export const createRoundRobin = (): WorkerSelector => {
  let next = 0;
  return (candidates) => {
    const chosen = candidates[next % Math.max(1, candidates.length)];
    next += 1;
    return chosen;
  };
};

/**
 * Weight of other nodes' requests. Reports lag: with full weight, reports that are 1 s old send all nodes to the same
 * workers and make the p99 latency of a pool worse than ignoring the reports (`bench/routing.ts`).
 */
const REPORT_WEIGHT = 0.25;

/** Estimated load: this node's own requests, which are exact, plus other nodes' requests as reported with a delay. */
export const workerLoad = (candidate: WorkerCandidate): number =>
  candidate.inFlight + REPORT_WEIGHT * (candidate.reportedRunning ?? 0);

/**
 * Power of two choices: the less loaded of two random workers. Prevents lagging reports from sending all nodes to the
 * same worker.
 */
export const selectLeastLoadedOfTwo: WorkerSelector = (candidates, { random }) => {
  const firstIndex = Math.floor(random() * candidates.length);
  const first = candidates[firstIndex];
  if (first === undefined || candidates.length < 2) return first;
  const step = 1 + Math.floor(random() * (candidates.length - 1));
  const second = candidates[(firstIndex + step) % candidates.length];
  return second !== undefined && workerLoad(second) < workerLoad(first) ? second : first;
};

/** Limit on how much more load than the alternative a preferred worker may have. */
export interface Imbalance {
  /** Factor on the alternative's load. */
  readonly factor: number;
  /** Added number of requests, so that the preference also holds at low load. */
  readonly slack: number;
}

/** A hop to another zone costs 1 to 1.5 ms one way, far less than queueing behind a few generations. */
export const ZONE_IMBALANCE: Imbalance = { factor: 1.25, slack: 2 };

/** A cached prefix saves its prefill, which is worth a hop to another zone but not an unevenly loaded pool. */
export const PREFIX_IMBALANCE: Imbalance = { factor: 1.25, slack: 2 };

const isWithin = (preferred: WorkerCandidate, other: WorkerCandidate, bound: Imbalance): boolean =>
  workerLoad(preferred) <= workerLoad(other) * bound.factor + bound.slack;

/** Prefers workers that satisfy `isPreferred`, unless their load exceeds that of `base`'s choice beyond `bound`. */
const preferring =
  (
    base: WorkerSelector,
    isPreferred: (candidate: WorkerCandidate, context: SelectionContext) => boolean,
    bound: Imbalance,
  ): WorkerSelector =>
  (candidates, context) => {
    const choice = base(candidates, context);
    if (choice === undefined || isPreferred(choice, context)) return choice;
    const preferred = base(
      candidates.filter((candidate) => isPreferred(candidate, context)),
      context,
    );
    return preferred !== undefined && isWithin(preferred, choice, bound) ? preferred : choice;
  };

/** Adds a preference for the node's own availability zone to a policy. */
export const preferZone = (base: WorkerSelector, bound = ZONE_IMBALANCE): WorkerSelector =>
  preferring(
    base,
    (candidate, { availabilityZone }) => candidate.availabilityZone === availabilityZone,
    bound,
  );

/** Adds a preference for workers that have the request's prompt prefix cached to a policy. */
export const preferPrefix = (base: WorkerSelector, bound = PREFIX_IMBALANCE): WorkerSelector =>
  preferring(base, (candidate) => candidate.holdsPrefix === true, bound);

/** The policy used in production. */
export const selectWorkerByDefault: WorkerSelector = preferPrefix(
  preferZone(selectLeastLoadedOfTwo),
);
