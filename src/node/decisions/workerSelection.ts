import type { Random } from '../../shared/random.ts';

/** What is known of a worker when a request is placed. */
export interface WorkerCandidate {
  readonly name: string;
  readonly availabilityZone: string;
  /** Requests in progress from this node. */
  readonly inFlight: number;
  /** Requests in progress by the worker's last report; undefined: none yet. */
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

/** Own requests count at once; reports lag but see other nodes' requests. */
const load = (candidate: WorkerCandidate): number =>
  candidate.inFlight + (candidate.reportedRunning ?? 0);

/** The less loaded of two workers drawn at random, which avoids that lagging reports send everyone to one worker. */
export const selectLeastLoadedOfTwo: WorkerSelector = (candidates, { random }) => {
  const first = pickRandom(candidates, random);
  const second = pickRandom(
    candidates.filter((candidate) => candidate !== first),
    random,
  );
  if (first === undefined || second === undefined) return first;
  return load(second) < load(first) ? second : first;
};
