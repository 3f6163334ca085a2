import { test } from 'node:test';
import { expect } from 'earl';
import { seededRandom } from '../../../shared/random.ts';
import {
  createRoundRobin,
  PREFIX_IMBALANCE,
  selectLeastLoadedOfTwo,
  selectRandom,
  selectWorkerByDefault,
  type WorkerCandidate,
  type WorkerSelector,
} from '../workerSelection.ts';

const candidate = (name: string, overrides: Partial<WorkerCandidate> = {}): WorkerCandidate => ({
  name,
  availabilityZone: 'b',
  inFlight: 0,
  ...overrides,
});

/** Places requests that never finish and returns the number of requests per worker. */
const placeRequests = (
  select: WorkerSelector,
  workers: WorkerCandidate[],
  count: number,
): number[] => {
  const context = { availabilityZone: 'a', random: seededRandom(3) };
  let current = workers;
  for (let placed = 0; placed < count; placed += 1) {
    const chosen = select(current, context);
    current = current.map((worker) =>
      worker === chosen ? { ...worker, inFlight: worker.inFlight + 1 } : worker,
    );
  }
  return current.map(({ inFlight }) => inFlight);
};

// Guards against a zone or prefix preference that overloads the preferred workers.
test('workers in the zone or with the prefix get more requests, but only within the imbalance limits', () => {
  const workers = [
    candidate('near', { availabilityZone: 'a' }),
    candidate('far-1'),
    candidate('far-2'),
  ];
  const [near = 0, far1 = 0, far2 = 0] = placeRequests(selectWorkerByDefault, workers, 300);
  expect(near > far1 && near > far2).toEqual(true);
  expect(near <= Math.min(far1, far2) * 1.25 + 8).toEqual(true);
  const holder = candidate('holder', { holdsPrefix: true, inFlight: PREFIX_IMBALANCE.slack });
  const context = { availabilityZone: 'a', random: seededRandom(1) };
  const others = [candidate('x'), candidate('y')];
  expect(selectWorkerByDefault([holder, ...others], context)?.name).toEqual('holder');
  const busy = { ...holder, inFlight: PREFIX_IMBALANCE.slack + 1 };
  expect(selectWorkerByDefault([busy, ...others], context)?.name).not.toEqual('holder');
});

// Guards against a policy that distributes load less evenly than random choice.
test('the less loaded of two gives a smaller spread than random, and no workers give undefined', () => {
  const workers = Array.from({ length: 12 }, (_, index) => candidate(`w${index}`));
  const spread = (select: WorkerSelector) => {
    const counts = placeRequests(select, workers, 1200);
    return Math.max(...counts) - Math.min(...counts);
  };
  expect(spread(selectLeastLoadedOfTwo) < spread(selectRandom)).toEqual(true);
  expect(spread(createRoundRobin())).toEqual(0);
  expect(selectWorkerByDefault([], { availabilityZone: 'a', random: seededRandom(1) })).toEqual(
    undefined,
  );
});
