import { test } from 'node:test';
import { expect } from 'earl';
import {
  allAtOnce,
  interruptResume,
  rolling,
  type RolloutPolicy,
  WeightRollout,
  type WorkerWeightReport,
} from '../weightRollout.ts';

const NAMES = Array.from({ length: 8 }, (_, index) => `worker-${index}`);

const reportedWorkers = (
  change: (name: string) => Partial<WorkerWeightReport> = () => ({}),
): WorkerWeightReport[] =>
  NAMES.map((name) => ({ name, state: 'ready', loaded: 1, ...change(name) }));

const rolloutWith = (policy: RolloutPolicy, loadsPerSecond = 1000) =>
  new WeightRollout({
    policy,
    loadsPerSecond,
    burst: loadsPerSecond,
    loadTimeoutMs: 5000,
    maxAttempts: 3,
  });

// Guards against a strategy that takes more workers out of service than it is meant to.
test('allAtOnce orders all eight workers, rolling two at a time, and interruptResume aborts streams', () => {
  expect(rolloutWith(allAtOnce).next(2, reportedWorkers(), 0).length).toEqual(8);
  expect(rolloutWith(interruptResume).next(2, reportedWorkers(), 0)[0]?.mode).toEqual('interrupt');
  const rollout = rolloutWith(rolling);
  expect(rollout.next(2, reportedWorkers(), 0).length).toEqual(2);
  expect(rollout.next(2, reportedWorkers(), 100).length).toEqual(0);
  const loaded = reportedWorkers((name) => (name === 'worker-0' ? { loaded: 2 } : {}));
  expect(rollout.next(2, loaded, 200).map(({ name }) => name)).toEqual(['worker-2']);
});

// Guards against a rollout that exceeds the rate limit of the weight store.
test('at 2 loads per second two orders are sent at once, and the next one after 500 ms', () => {
  const rollout = rolloutWith(allAtOnce, 2);
  expect(rollout.next(2, reportedWorkers(), 0).length).toEqual(2);
  expect(rollout.next(2, reportedWorkers(), 400).length).toEqual(0);
  expect(rollout.next(2, reportedWorkers(), 500).length).toEqual(1);
});

// Guards against endless orders to a failing worker, and against keeping it in service with unknown weights.
test('a worker that fails to load gets three orders, then is out of service until the next version', () => {
  const rollout = rolloutWith(allAtOnce);
  const failing = reportedWorkers((name) =>
    name === 'worker-3' ? { state: 'failed', loaded: 1 } : { loaded: 2 },
  );
  const orders = Array.from({ length: 8 }, (_, round) => rollout.next(2, failing, round * 1000));
  expect(orders.flat().map(({ name }) => name)).toEqual(['worker-3', 'worker-3', 'worker-3']);
  expect([...rollout.outOfService]).toEqual(['worker-3']);
  expect(rollout.settled).toEqual(true);
  expect(rollout.next(3, failing, 9000).length).toEqual(8);
  expect([...rollout.outOfService]).toEqual([]);
});

// Guards against leaving a worker on a wrong version that another holder ordered or that it loaded at a restart.
test('a worker that reports a version other than the desired one is ordered to load that one', () => {
  const rollout = rolloutWith(allAtOnce);
  const right = reportedWorkers(() => ({ loaded: 2 }));
  expect(rollout.next(2, right, 0)).toEqual([]);
  expect(rollout.settled).toEqual(true);
  const wrong = reportedWorkers((name) => ({ loaded: name === 'worker-5' ? 7 : 2 }));
  expect(rollout.next(2, wrong, 1000)).toEqual([{ name: 'worker-5', version: 2, mode: 'drain' }]);
});
