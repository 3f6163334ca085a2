import { test } from 'node:test';
import { expect } from 'earl';
import {
  allAtOnce,
  interruptResume,
  rolling,
  type RolloutPolicy,
  WeightRollout,
  type WorkerWeights,
} from '../weightRollout.ts';

const NAMES = Array.from({ length: 8 }, (_, index) => `worker-${index}`);

const pool = (change: (name: string) => Partial<WorkerWeights> = () => ({})): WorkerWeights[] =>
  NAMES.map((name) => ({ name, state: 'ready', loaded: 1, ...change(name) }));

const rolloutWith = (policy: RolloutPolicy, loadsPerSecond = 1000) =>
  new WeightRollout({
    policy,
    loadsPerSecond,
    burst: loadsPerSecond,
    loadTimeoutMs: 5000,
    maxAttempts: 3,
  });

// Guards against a strategy that takes more workers out of service than it says.
test('the strategies order all workers, or a quarter of them at a time', () => {
  expect(rolloutWith(allAtOnce).next(2, pool(), 0).length).toEqual(8);
  expect(rolloutWith(interruptResume).next(2, pool(), 0)[0]?.manner).toEqual('interrupt');
  const rollout = rolloutWith(rolling);
  expect(rollout.next(2, pool(), 0).length).toEqual(2);
  expect(rollout.next(2, pool(), 100).length).toEqual(0);
  const loaded = pool((name) => (name === 'worker-0' ? { loaded: 2 } : {}));
  expect(rollout.next(2, loaded, 200).map(({ name }) => name)).toEqual(['worker-2']);
});

// Guards against a rollout that exceeds the rate of the weight store.
test('orders are paced by the rate of the weight store', () => {
  const rollout = rolloutWith(allAtOnce, 2);
  expect(rollout.next(2, pool(), 0).length).toEqual(2);
  expect(rollout.next(2, pool(), 400).length).toEqual(0);
  expect(rollout.next(2, pool(), 500).length).toEqual(1);
});

// Guards against a failing worker that is ordered for ever, or that stays in service on unknown weights.
test('a worker that fails to load is tried again, then left out until the next version', () => {
  const rollout = rolloutWith(allAtOnce);
  const failing = pool((name) =>
    name === 'worker-3' ? { state: 'failed', loaded: 1 } : { loaded: 2 },
  );
  const orders = Array.from({ length: 8 }, (_, round) => rollout.next(2, failing, round * 1000));
  expect(orders.flat().map(({ name }) => name)).toEqual(['worker-3', 'worker-3', 'worker-3']);
  expect([...rollout.outOfService]).toEqual(['worker-3']);
  expect(rollout.settled).toEqual(true);
  expect(rollout.next(3, failing, 9000).length).toEqual(8);
  expect([...rollout.outOfService]).toEqual([]);
});

// Guards against a worker that another holder ordered to a wrong version, or that was restarted with an old one.
test('a worker that reports another version is corrected', () => {
  const rollout = rolloutWith(allAtOnce);
  const right = pool(() => ({ loaded: 2 }));
  expect(rollout.next(2, right, 0)).toEqual([]);
  expect(rollout.settled).toEqual(true);
  const wrong = pool((name) => ({ loaded: name === 'worker-5' ? 7 : 2 }));
  expect(rollout.next(2, wrong, 1000)).toEqual([{ name: 'worker-5', version: 2, manner: 'drain' }]);
});
