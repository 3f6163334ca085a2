import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { onInvariantViolation } from '../../../src/shared/invariants.ts';
import { modelSchedule, runSchedule, SCHEDULE_SEED } from '../schedule.ts';

const SCHEDULES = 1000;

// Guards against every break of promise 4 under crashes, pauses, partitions, outages, lost answers and late writes.
test('no random schedule makes the two-phase commit break promise 4', async () => {
  const violatedInvariants: string[] = [];
  onInvariantViolation((name) => violatedInvariants.push(name));
  const failures: string[] = [];
  const results = new Set<string>();
  const schedules = fc.sample(modelSchedule, { numRuns: SCHEDULES, seed: SCHEDULE_SEED });
  for (const [index, schedule] of schedules.entries()) {
    const { violations, changes } = await runSchedule(schedule);
    if (violations[0] !== undefined) failures.push(`schedule ${index}: ${violations[0]}`);
    for (const { outcome } of changes) if (outcome) results.add(outcome.result);
  }
  expect(failures).toEqual([]);
  expect(violatedInvariants).toEqual([]);
  // The schedules reach accepted, partly reported and refused changes.
  expect([...results].sort()).toEqual(['accepted', 'in-force', 'refused']);
});
