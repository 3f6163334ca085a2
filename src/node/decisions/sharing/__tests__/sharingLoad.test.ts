import { test } from 'node:test';
import { expect } from 'earl';
import { type CallResult, runSharing } from '../../../../../bench/model/sharingModel.ts';
import { competingKinds, heavyAccount } from '../../../../../bench/model/sharingScenarios.ts';
import { createFairQueueing } from '../shareRules.ts';

const VARIANT = { shares: createFairQueueing };

const isServed = ({ end }: CallResult) => end === 'in time' || end === 'late';

const share = (results: readonly CallResult[], test_: (result: CallResult) => boolean): number =>
  results.filter(test_).length / results.length;

const ofTrouble = (results: readonly CallResult[], kind: string) =>
  results.filter((result) => result.kind === kind && result.atMs >= 5000 && result.atMs < 10_000);

// Guards against a queue that changes anything while there is room.
test('without trouble every call ends as if it was sent at once', () => {
  const scenario = { ...competingKinds(4, 'none'), durationMs: 4000 };
  expect(runSharing(scenario, VARIANT).results).toEqual(runSharing(scenario, undefined).results);
});

// Guards against urgent callers that wait behind scoring calls when workers are gone.
test('with six of seven workers gone urgent calls are in time, and served no less than scoring calls', () => {
  const { results } = runSharing(competingKinds(5, 'fewer'), VARIANT);
  const urgent = ofTrouble(results, 'urgent');
  expect(share(urgent, ({ end }) => end === 'in time') >= 0.95).toEqual(true);
  expect(share(urgent, isServed) >= share(ofTrouble(results, 'scoring'), isServed) - 0.05).toEqual(
    true,
  );
});

// Guards against small accounts that starve beside a large one.
test('at 1.5 times the capacity each account is served at least a quarter as often as all', () => {
  const { results, idleShare } = runSharing(heavyAccount(6, 1.5, 8000), VARIANT);
  const measured = results.filter(({ atMs }) => atMs >= 1000 && atMs < 4000);
  const overall = share(measured, isServed);
  for (const [, own] of Map.groupBy(measured, ({ account }) => account)) {
    expect(own.length < 4 || share(own, isServed) >= overall / 4).toEqual(true);
  }
  // Nothing waits while slots are idle, apart from the first moments.
  expect(idleShare <= 0.02).toEqual(true);
});
