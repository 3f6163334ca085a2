import { test } from 'node:test';
import { expect } from 'earl';
import { TrainingTestbed } from '../trainingTestbed.ts';

const countChildren = (): number =>
  process.getActiveResourcesInfo().filter((resource) => resource === 'ProcessWrap').length;

// Guards against a test run that never ends because the processes of a testbed that did not start are still running.
test('a testbed that fails to start leaves no processes', { timeout: 60_000 }, async () => {
  const options = { nodes: 1, groups: 1, samplesPerGroup: 1, steps: 1 };
  const start = TrainingTestbed.start({ ...options, timing: { leaseTtlMs: -1 } });
  await expect(start).toBeRejectedWith('exited with code');
  expect(countChildren()).toEqual(0);
});
