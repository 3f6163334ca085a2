import { test } from 'node:test';
import { assertNoViolations } from '../model/scheduleArbitrary.ts';

// Guards against lost, repeated, mixed-up or too stale samples and against two simultaneous owners when ownership
// changes often while the platform is slow, unavailable or loses responses.
test(
  'with crashing and paused owners and platform faults, every sample is handed over exactly once',
  { timeout: 300_000 },
  () => assertNoViolations(12, 700, ['crash', 'pause', 'outage', 'slow-platform', 'lost-answers']),
);
