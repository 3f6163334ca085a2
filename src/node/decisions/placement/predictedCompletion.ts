import type { Random } from '../../../shared/random.ts';
import type { SelectionContext, WorkerCandidate } from '../workerSelection.ts';

/** State of a worker that reports its load, as known when a request is placed. */
export interface PacedCandidate extends WorkerCandidate {
  /** Number of requests that the worker runs at the same time. */
  readonly slots: number;
  /** Time that work takes there by the worker's last report, relative to the usual; undefined when not known. */
  readonly pace?: number;
  /** Age of that report, in ms. */
  readonly paceAgeMs?: number;
  /** Time of the worker's recent answers at this node, relative to the usual. @default 1 */
  readonly slowness?: number;
  /** Time that this node's oldest request on the worker has been in flight, in ms. @default 0 */
  readonly oldestInFlightMs?: number;
}

export interface PlacementContext extends SelectionContext {
  /** Usual time of the request's work, in ms. */
  readonly workMs: number;
  /** Time within which the response has its full value, in ms. */
  readonly targetLatencyMs: number;
}

export interface PredictionOptions {
  /** Weight of other nodes' requests, by the worker's last report. @default 0.1 */
  readonly reportWeight?: number;
  /** Time in which the weight of a reported pace against the usual one falls by half, in ms. @default 1000 */
  readonly paceHalfLifeMs?: number;
  /** Reported pace up to which a worker counts as one of usual pace. @default 2 */
  readonly ordinaryPace?: number;
  /** Delay by requests that share the slots, relative to the work, when all slots are taken. @default 1 */
  readonly sharedSlotCost?: number;
  /** Number of pairs of candidates that are drawn until one of them meets the target. @default 3 */
  readonly draws?: number;
}

/** Chooses a worker by when it will complete the request. Returns undefined only for an empty list. */
export type CompletionSelector = <T extends PacedCandidate>(
  candidates: readonly T[],
  context: PlacementContext,
) => T | undefined;

/**
 * Reports of up to 500 ms ago send many nodes to the same workers: at 70% use, a quarter or more is worse than random
 * choice, a tenth is better than today's selector (`bench/unevenWorkers.ts --variants`).
 */
const REPORT_WEIGHT = 0.1;

/**
 * A slow VM stays slow for seconds; the part of the pace that changes every 100 ms is outdated when it is used. Shorter
 * half-lives miss slow VMs, longer ones are about equal (`bench/unevenWorkers.ts --variants`).
 */
const PACE_HALF_LIFE_MS = 1000;

/** With half of the workers slow, three pairs contain one that is not in 98 of 100 cases. */
const DRAWS = 3;

/** Answer times vary with the size of the work, up to about twice the usual; only more than that shows a slow worker. */
const ORDINARY_SLOWNESS = 2;

/** A pace below this is mostly the part that changes before it can be used; only a slow phase exceeds it for long. */
const ORDINARY_PACE = 2;

/** The count of requests ahead is an estimate, so that each one may mean a wait before all slots are known to be taken. */
const SHARED_SLOT_COST = 1;

/** How much longer a worker of the own zone may take: two hops of 1 to 1.5 ms, and less than a place in a queue. */
const ZONE_IMBALANCE = { factor: 1.25, slackMs: 3 };

const paceOf = (
  { pace, paceAgeMs = 0, slowness = 1, oldestInFlightMs = 0 }: PacedCandidate,
  workMs: number,
  options: Pick<PredictionOptions, 'paceHalfLifeMs' | 'ordinaryPace'>,
): number => {
  const { paceHalfLifeMs = PACE_HALF_LIFE_MS, ordinaryPace = ORDINARY_PACE } = options;
  const overdue = oldestInFlightMs / Math.max(1, workMs);
  const shown = overdue > ORDINARY_SLOWNESS ? overdue : 1;
  // A report is newer than the answers that were measured before it.
  if (pace === undefined) return Math.max(shown, slowness > ORDINARY_SLOWNESS ? slowness : 1);
  if (pace <= ordinaryPace) return shown;
  return Math.max(shown, 1 + (pace - 1) * 0.5 ** (paceAgeMs / paceHalfLifeMs));
};

/** Predicted time in ms from now until a worker completes a request. */
export const predictedCompletionMs = (
  candidate: PacedCandidate,
  { workMs }: Pick<PlacementContext, 'workMs'>,
  options: PredictionOptions = {},
): number => {
  const { reportWeight = REPORT_WEIGHT, sharedSlotCost = SHARED_SLOT_COST } = options;
  const slots = Math.max(1, candidate.slots);
  const ahead = candidate.inFlight + reportWeight * (candidate.reportedRunning ?? 0);
  const queueRounds = Math.max(0, ahead + 1 - slots) / slots;
  const sharedSlots = (sharedSlotCost * Math.min(ahead, slots)) / slots;
  return workMs * paceOf(candidate, workMs, options) * (1 + queueRounds + sharedSlots);
};

const bestOfTwo = <T>(
  candidates: readonly T[],
  random: Random,
  costOf: (candidate: T) => number,
): T | undefined => {
  const firstIndex = Math.floor(random() * candidates.length);
  const first = candidates[firstIndex];
  if (first === undefined || candidates.length < 2) return first;
  const step = 1 + Math.floor(random() * (candidates.length - 1));
  const second = candidates[(firstIndex + step) % candidates.length];
  return second !== undefined && costOf(second) < costOf(first) ? second : first;
};

/**
 * Creates a selector for pools whose workers are uneven and report it. Two random candidates are compared by predicted
 * completion, so that many nodes with the same outdated view do not all choose the same worker. The first pair is of the
 * node's own zone; it is kept unless another is better by more than `ZONE_IMBALANCE`. While no candidate meets the target
 * latency, another pair is drawn.
 */
export const createPredictedCompletion =
  (options: PredictionOptions = {}): CompletionSelector =>
  (candidates, context) => {
    const { random, availabilityZone, targetLatencyMs } = context;
    const { draws = DRAWS } = options;
    const costOf = (candidate: PacedCandidate) =>
      predictedCompletionMs(candidate, context, options);
    const near = candidates.filter((candidate) => candidate.availabilityZone === availabilityZone);
    let best = bestOfTwo(near, random, costOf);
    let bestMs = best === undefined ? Infinity : costOf(best);
    for (let draw = 0; draw < draws; draw += 1) {
      if (draw > 0 && bestMs <= targetLatencyMs) break;
      const other = bestOfTwo(candidates, random, costOf);
      const { factor, slackMs } = ZONE_IMBALANCE;
      if (other !== undefined && costOf(other) * factor + slackMs < bestMs) {
        best = other;
        bestMs = costOf(other);
      }
    }
    return best;
  };

/** The selector used where workers report their load. */
export const selectByPredictedCompletion: CompletionSelector = createPredictedCompletion();
