import { test } from 'node:test';
import { expect } from 'earl';
import { TrainingTestbed, waitFor } from '../trainingTestbed.ts';

// Guards against faults anywhere between the submission of a step and the receipt of its scored samples, with every
// component in a process of its own.
test('all samples of two steps reach the trainer exactly once', { timeout: 60_000 }, async () => {
  await using training = await TrainingTestbed.start({
    nodes: 2,
    groups: 4,
    samplesPerGroup: 4,
    steps: 2,
  });
  await training.startTraining();
  const { received } = await training.waitForSamples(training.expectedSamples);
  const names = new Set(received.map(({ stepId, ordinal }) => `${stepId}/${ordinal}`));
  expect(names.size).toEqual(training.expectedSamples);
  expect(received.length).toEqual(training.expectedSamples);
  expect(received.every(({ scores }) => (scores.length ?? 0) > 0)).toEqual(true);
  expect(received.every(({ ranges }) => ranges[0]?.weightVersion === 1)).toEqual(true);
});

// Guards against a publication that is confirmed but does not reach the engines, and against one that is older than the
// published version.
test('a published weight version reaches every engine', { timeout: 60_000 }, async () => {
  await using training = await TrainingTestbed.start({
    nodes: 2,
    groups: 1,
    samplesPerGroup: 1,
    steps: 1,
  });
  await waitFor(
    'a recorded publication',
    () => training.publishWeights(4),
    (status) => status === 200,
  );
  await waitFor(
    'loaded weights',
    () => training.engineVersions(),
    (versions) => versions.every((version) => version === 4),
  );
  expect(await training.publishWeights(3)).toEqual(409);
});
