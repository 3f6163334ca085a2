import { test } from 'node:test';
import { assertSchedules } from '../model/scheduleArbitrary.ts';

// Guards against a lost, repeated, mixed-up or too stale sample and against two owners, under any mix of faults.
test(
  'owners under all kinds of faults hand every sample over exactly once',
  { timeout: 300_000 },
  () => assertSchedules(11, 700),
);
