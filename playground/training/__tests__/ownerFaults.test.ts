import { test } from 'node:test';
import { expect } from 'earl';
import { type TestbedOptions, TrainingTestbed, waitFor } from '../trainingTestbed.ts';

const OPTIONS: TestbedOptions = {
  nodes: 3,
  groups: 6,
  samplesPerGroup: 8,
  steps: 2,
  // Short, to keep the test fast; a shorter lease would expire during stalls of a busy test machine.
  timing: { leaseTtlMs: 3000, leaseRenewIntervalMs: 700, leaseMarginMs: 700 },
  // Long enough for the faults to occur in the middle of a step.
  engineFaults: { tokenIntervalMs: 120 },
};

const TIMEOUT_MS = 150_000;

const expectExactlyOnce = async (training: TrainingTestbed): Promise<void> => {
  const { received } = await training.waitForSamples(training.expectedSamples, TIMEOUT_MS / 2);
  const names = received.map(({ stepId, ordinal }) => `${stepId}/${ordinal}`);
  expect(new Set(names).size).toEqual(training.expectedSamples);
  expect(names.length).toEqual(training.expectedSamples);
};

// Guards against lost or repeated samples when the owner crashes while it has committed and uncommitted samples.
test('a killed owner neither loses nor repeats samples', { timeout: TIMEOUT_MS }, async () => {
  await using training = await TrainingTestbed.start(OPTIONS);
  await training.startTraining();
  await training.waitForSamples(10);
  const owner = await training.findOwner();
  owner.process.child.kill('SIGKILL');
  await expectExactlyOnce(training);
  expect((await training.findOwner()).name === owner.name).toEqual(false);
});

// Guards against hand-overs and commits by an owner that resumes after its lease has expired.
test('the owner is paused past its lease and resumed', { timeout: TIMEOUT_MS }, async () => {
  await using training = await TrainingTestbed.start(OPTIONS);
  await training.startTraining();
  await training.waitForSamples(10);
  const paused = await training.findOwner();
  paused.process.child.kill('SIGSTOP');
  await waitFor(
    'another owner',
    () => training.findOwner(),
    ({ name }) => name !== paused.name,
  );
  await training.waitForSamples(20);
  paused.process.child.kill('SIGCONT');
  await expectExactlyOnce(training);
});

// Guards against a platform outage that loses samples or changes the owner, and against hand-overs without a commit.
test('a platform outage neither loses nor voids samples', { timeout: TIMEOUT_MS }, async () => {
  await using training = await TrainingTestbed.start(OPTIONS);
  await training.startTraining();
  await training.waitForSamples(10);
  const owner = await training.findOwner();
  await training.setFaults('platform', { outage: true });
  // The outage outlasts the lease, so the owner must stop handing over samples.
  await waitFor(
    'an expired lease',
    () => training.jobStateStatuses(),
    (statuses) => statuses.every((status) => status === 503),
  );
  const before = await training.trainerReport();
  await training.setFaults('platform', {});
  await training.waitForSamples(before.received.length + 1);
  expect((await training.findOwner()).name).toEqual(owner.name);
  await expectExactlyOnce(training);
  // The owner kept its completed samples; none was voided and generated again.
  expect((await training.trainerReport()).voids).toEqual(0);
});
