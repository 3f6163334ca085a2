import { test } from 'node:test';
import { assertSchedules } from '../model/scheduleArbitrary.ts';

// Guards against the same where ownership changes often while the platform is slow or loses answers.
test(
  'owners that crash and pause behind a slow platform hand every sample over exactly once',
  { timeout: 300_000 },
  () => assertSchedules(12, 700, ['crash', 'pause', 'outage', 'slow-platform', 'lost-answers']),
);
