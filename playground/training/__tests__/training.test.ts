import { test } from 'node:test';
import { expect } from 'earl';
import { TrainingCase, waitFor } from '../trainingCase.ts';

// Guards against a break anywhere on the path from a trainer's step to its samples.
test('a step goes end to end through separate processes', { timeout: 60_000 }, async () => {
  await using training = await TrainingCase.start({
    nodes: 2,
    groups: 4,
    samplesPerGroup: 4,
    steps: 2,
  });
  await training.train();
  const { received } = await training.received(training.expected);
  const names = new Set(received.map(({ stepId, ordinal }) => `${stepId}/${ordinal}`));
  expect(names.size).toEqual(training.expected);
  expect(received.length).toEqual(training.expected);
  expect(received.every(({ scores }) => (scores.length ?? 0) > 0)).toEqual(true);
  expect(received.every(({ ranges }) => ranges[0]?.weightVersion === 1)).toEqual(true);
});

// Guards against a publication that is answered but does not reach the engines, and one that goes backwards.
test('a published weight version reaches every engine', { timeout: 60_000 }, async () => {
  await using training = await TrainingCase.start({
    nodes: 2,
    groups: 1,
    samplesPerGroup: 1,
    steps: 1,
  });
  await waitFor(
    'a recorded publication',
    () => training.publish(4),
    (status) => status === 200,
  );
  await waitFor(
    'loaded weights',
    () => training.engineVersions(),
    (versions) => versions.every((version) => version === 4),
  );
  expect(await training.publish(3)).toEqual(409);
});
