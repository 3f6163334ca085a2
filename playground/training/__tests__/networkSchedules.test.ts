import { test } from 'node:test';
import { assertNoViolations } from '../model/scheduleArbitrary.ts';

// Guards against lost, repeated, mixed-up or too stale samples when requests of the trainer are delayed, lost or
// duplicated while the owner and the weight version change.
test(
  'with a faulty trainer network, every sample is handed over exactly once',
  { timeout: 300_000 },
  () => assertNoViolations(13, 700, ['crash', 'pause', 'trainer-network', 'publish']),
);
