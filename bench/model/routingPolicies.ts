import {
  selectLeastLoadedOfTwo,
  selectRandom,
  type WorkerCandidate,
  type WorkerSelector,
} from '../../src/node/decisions/workerSelection.ts';
import { createRoundRobin } from './routingModel.ts';

/** Hides load reports from a policy, so that only the entry's own requests in progress count. */
const withoutReports =
  (select: WorkerSelector): WorkerSelector =>
  (candidates, context) => {
    const blind = candidates.map((candidate) => ({ ...candidate, reportedRunning: undefined }));
    const chosen = select(blind, context);
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
  ['least reported', selectLeastReported],
  ['two choices, reports', selectLeastLoadedOfTwo],
  ['two choices, own only', withoutReports(selectLeastLoadedOfTwo)],
];
