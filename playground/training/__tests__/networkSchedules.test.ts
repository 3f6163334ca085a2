import { test } from 'node:test';
import { assertSchedules } from '../model/scheduleArbitrary.ts';

// Guards against the same where calls of the trainer are late, lost or repeated while owners and weights change.
test(
  'owners behind a faulty network of the trainer hand every sample over exactly once',
  { timeout: 300_000 },
  () => assertSchedules(13, 700, ['crash', 'pause', 'trainer-network', 'publish']),
);
