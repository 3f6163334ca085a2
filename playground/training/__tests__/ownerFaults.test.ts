import { test } from 'node:test';
import { expect } from 'earl';
import { type CaseOptions, TrainingCase, waitFor } from '../trainingCase.ts';

const OPTIONS: CaseOptions = {
  nodes: 3,
  groups: 6,
  samplesPerGroup: 8,
  steps: 2,
  // A lease as short as the stalls of a busy test machine allow.
  timing: { leaseTtlMs: 3000, leaseRenewIntervalMs: 700, leaseMarginMs: 700 },
  // Long enough for the faults to fall into the middle of a step.
  engineFaults: { tokenIntervalMs: 120 },
};

const LIMIT_MS = 150_000;

const expectExactlyOnce = async (training: TrainingCase): Promise<void> => {
  const { received } = await training.received(training.expected, LIMIT_MS / 2);
  const names = received.map(({ stepId, ordinal }) => `${stepId}/${ordinal}`);
  expect(new Set(names).size).toEqual(training.expected);
  expect(names.length).toEqual(training.expected);
};

// Guards against samples that are lost or repeated when the owner dies with committed and uncommitted ones.
test('the owner is killed in the middle of a step', { timeout: LIMIT_MS }, async () => {
  await using training = await TrainingCase.start(OPTIONS);
  await training.train();
  await training.received(10);
  const owner = await training.owner();
  owner.process.child.kill('SIGKILL');
  await expectExactlyOnce(training);
  expect((await training.owner()).name === owner.name).toEqual(false);
});

// Guards against hand-overs and commits of an owner that was stopped past its lease and resumes.
test('the owner is paused past its lease and resumed', { timeout: LIMIT_MS }, async () => {
  await using training = await TrainingCase.start(OPTIONS);
  await training.train();
  await training.received(10);
  const paused = await training.owner();
  paused.process.child.kill('SIGSTOP');
  await waitFor(
    'another owner',
    () => training.owner(),
    ({ name }) => name !== paused.name,
  );
  await training.received(20);
  paused.process.child.kill('SIGCONT');
  await expectExactlyOnce(training);
});

// Guards against an outage that loses samples or an owner, and against hand-overs without a commit.
test('the platform is down in the middle of a step', { timeout: LIMIT_MS }, async () => {
  await using training = await TrainingCase.start(OPTIONS);
  await training.train();
  await training.received(10);
  const owner = await training.owner();
  await training.setFaults('platform', { outage: true });
  // Longer than the lease: the owner may not hand over any more.
  await waitFor(
    'a lapsed lease',
    () => training.stateStatuses(),
    (statuses) => statuses.every((status) => status === 503),
  );
  const before = await training.report();
  await training.setFaults('platform', {});
  await training.received(before.received.length + 1);
  expect((await training.owner()).name).toEqual(owner.name);
  await expectExactlyOnce(training);
  // Nothing was generated for the bin: the owner kept what it had.
  expect((await training.report()).voids).toEqual(0);
});
