import {
  createRoundRobin,
  preferPrefix,
  selectLeastLoadedOfTwo,
  selectRandom,
  selectWorkerByDefault,
  type WorkerCandidate,
  type WorkerSelector,
} from '../../src/node/decisions/workerSelection.ts';

/** Counts the requests of others at `factor` times the product's weight of a quarter; 0 hides them. */
const withReportWeight =
  (select: WorkerSelector, factor: number): WorkerSelector =>
  (candidates, context) => {
    const weighed = candidates.map((candidate) => ({
      ...candidate,
      reportedRunning: (candidate.reportedRunning ?? 0) * factor,
    }));
    const chosen = select(weighed, context);
    return chosen && candidates.find(({ name }) => name === chosen.name);
  };

const totalLoad = (candidate: WorkerCandidate): number =>
  candidate.inFlight + (candidate.reportedRunning ?? 0);

/** Always the smallest sum of own requests and the last report. */
const selectLeastReported: WorkerSelector = (candidates, { random }) => {
  const least = Math.min(...candidates.map(totalLoad));
  const ties = candidates.filter((candidate) => totalLoad(candidate) === least);
  return ties[Math.floor(random() * ties.length)];
};

/** The ways of choosing a worker that are compared; baselines first. */
export const routingPolicies = (): readonly (readonly [string, WorkerSelector])[] => [
  ['random', selectRandom],
  ['round robin', createRoundRobin()],
  ['least of all', selectLeastReported],
  ['two choices, reports count 1', withReportWeight(selectLeastLoadedOfTwo, 4)],
  ['two choices, reports count 1/4', withReportWeight(selectLeastLoadedOfTwo, 1)],
  ['two choices, own only', withReportWeight(selectLeastLoadedOfTwo, 0)],
  ['own only and prefix', withReportWeight(preferPrefix(selectLeastLoadedOfTwo), 0)],
  ['product default', selectWorkerByDefault],
];
