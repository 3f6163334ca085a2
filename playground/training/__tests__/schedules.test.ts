import { test } from 'node:test';
import { assertNoViolations } from '../model/scheduleArbitrary.ts';

// Guards against lost, repeated, mixed-up or too stale samples and against two simultaneous owners under any
// combination of faults.
test(
  'under faults of all kinds, every sample is handed over exactly once',
  { timeout: 300_000 },
  () => assertNoViolations(11, 700),
);
