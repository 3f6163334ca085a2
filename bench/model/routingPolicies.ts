import {
  createRoundRobin,
  preferPrefix,
  selectLeastLoadedOfTwo,
  selectRandom,
  selectWorkerByDefault,
  type WorkerCandidate,
  type WorkerSelector,
} from '../../src/node/decisions/workerSelection.ts';

/** Weights other nodes' requests with `factor` times the product's weight of 1/4; a factor of 0 ignores them. */
const withReportWeight =
  (select: WorkerSelector, factor: number): WorkerSelector =>
  (candidates, context) => {
    const weighted = candidates.map((candidate) => ({
      ...candidate,
      reportedRunning: (candidate.reportedRunning ?? 0) * factor,
    }));
    const chosen = select(weighted, context);
    return chosen && candidates.find(({ name }) => name === chosen.name);
  };

const totalLoad = (candidate: WorkerCandidate): number =>
  candidate.inFlight + (candidate.reportedRunning ?? 0);

/** Selects the worker with the smallest sum of own requests and reported requests of other nodes. */
const selectLeastTotalLoad: WorkerSelector = (candidates, { random }) => {
  const least = Math.min(...candidates.map(totalLoad));
  const ties = candidates.filter((candidate) => totalLoad(candidate) === least);
  return ties[Math.floor(random() * ties.length)];
};

/** The worker selectors to compare, baselines first. */
export const routingPolicies = (): readonly (readonly [string, WorkerSelector])[] => [
  ['random', selectRandom],
  ['round robin', createRoundRobin()],
  ['least total load', selectLeastTotalLoad],
  ['two choices, report weight 1', withReportWeight(selectLeastLoadedOfTwo, 4)],
  ['two choices, report weight 1/4', withReportWeight(selectLeastLoadedOfTwo, 1)],
  ['two choices, own requests only', withReportWeight(selectLeastLoadedOfTwo, 0)],
  ['prefix, own requests only', withReportWeight(preferPrefix(selectLeastLoadedOfTwo), 0)],
  ['product default', selectWorkerByDefault],
];
