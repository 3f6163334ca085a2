import { test } from 'node:test';
import { expect } from 'earl';
import { PoisonModel } from '../poisonModel.ts';

const SEEDS = Array.from({ length: 30 }, (_, index) => 9000 + index);

const playAll = (seed: number) =>
  [0.01, 0.05].flatMap((deadlyShare) =>
    [false, true].map((zoneCrashes) =>
      new PoisonModel({
        ...{ seed, policy: 'shared-trials' as const, deadlyShare, zoneCrashes, partition: false },
      }).run(),
    ),
  );

// Guards against a request that nodes in touch send on after three workers have ended under it, whatever crashes beside it.
test('random runs: no request is sent on after three workers ended under it', () => {
  for (const seed of SEEDS) {
    for (const { sendsAfterThreeEnds } of playAll(seed)) expect(sendsAfterThreeEnds).toEqual(0);
  }
});

// Guards against rules that spare the workers at the cost of other requests: those beside a deadly one must be served.
test('random runs: trials lose fewer workers and fewer innocent requests than no rule', () => {
  for (const seed of SEEDS) {
    const options = { seed, deadlyShare: 0.02, zoneCrashes: false, partition: false };
    const none = new PoisonModel({ ...options, policy: 'none' }).run();
    const trials = new PoisonModel({ ...options, policy: 'shared-trials' }).run();
    expect(trials.endsPerDeadlyRequest <= none.endsPerDeadlyRequest).toEqual(true);
    expect(trials.innocentFailedShare <= none.innocentFailedShare).toEqual(true);
  }
});
