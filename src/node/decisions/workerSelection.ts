import type { Random } from '../../shared/random.ts';

/** What is known of a worker when a request is placed. */
export interface WorkerCandidate {
  readonly name: string;
  readonly availabilityZone: string;
  /** Requests in progress from this node. */
  readonly inFlight: number;
  /** Requests of others in progress or waiting by the worker's last report; undefined: none yet. */
  readonly reportedRunning?: number;
  /** Whether the worker is believed to hold the request's prompt prefix. */
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

/** Baseline: any worker. */
export const selectRandom: WorkerSelector = (candidates, { random }) =>
  pickRandom(candidates, random);

/** Baseline: one worker after the other. */
export const createRoundRobin = (): WorkerSelector => {
  let next = 0;
  return (candidates) => {
    const chosen = candidates[next % Math.max(1, candidates.length)];
    next += 1;
    return chosen;
  };
};

/**
 * Share at which requests of others count. Reports lag: counted in full, reports 1 s old send all nodes to the same
 * workers and make the p99 latency of a pool worse than not looking at them (`bench/routing.ts`).
 */
const REPORT_WEIGHT = 0.25;

/** Own requests count at once; reports lag but see other nodes' requests. */
export const workerLoad = (candidate: WorkerCandidate): number =>
  candidate.inFlight + REPORT_WEIGHT * (candidate.reportedRunning ?? 0);

/** The less loaded of two workers drawn at random, which avoids that lagging reports send everyone to one worker. */
export const selectLeastLoadedOfTwo: WorkerSelector = (candidates, { random }) => {
  const firstIndex = Math.floor(random() * candidates.length);
  const first = candidates[firstIndex];
  if (first === undefined || candidates.length < 2) return first;
  const step = 1 + Math.floor(random() * (candidates.length - 1));
  const second = candidates[(firstIndex + step) % candidates.length];
  return second !== undefined && workerLoad(second) < workerLoad(first) ? second : first;
};

/** How much more loaded than the alternative a preferred worker may be. */
export interface Imbalance {
  /** As a factor of the alternative's load. */
  readonly factor: number;
  /** In requests, so that a preference also holds at low load. */
  readonly slack: number;
}

/** Crossing zones costs 1 to 1.5 ms one way, which is far less than queueing behind a few generations. */
export const ZONE_IMBALANCE: Imbalance = { factor: 1.25, slack: 2 };

/** A cached prefix saves its prefill, which is worth more than a short hop but not an uneven pool. */
export const PREFIX_IMBALANCE: Imbalance = { factor: 1.25, slack: 2 };

const isWithin = (preferred: WorkerCandidate, other: WorkerCandidate, bound: Imbalance): boolean =>
  workerLoad(preferred) <= workerLoad(other) * bound.factor + bound.slack;

/** Prefers workers for which `isPreferred` holds, unless they are too much more loaded than `base`'s choice. */
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

/** Adds the preference for the node's own availability zone to a policy. */
export const preferZone = (base: WorkerSelector, bound = ZONE_IMBALANCE): WorkerSelector =>
  preferring(
    base,
    (candidate, { availabilityZone }) => candidate.availabilityZone === availabilityZone,
    bound,
  );

/** Adds the preference for workers that hold the request's prompt prefix to a policy. */
export const preferPrefix = (base: WorkerSelector, bound = PREFIX_IMBALANCE): WorkerSelector =>
  preferring(base, (candidate) => candidate.holdsPrefix === true, bound);

/** The policy of the product. */
export const selectWorkerByDefault: WorkerSelector = preferPrefix(
  preferZone(selectLeastLoadedOfTwo),
);
