import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { onInvariantViolation } from '../../../src/shared/invariants.ts';
import { modelSchedule, runSchedule, SCHEDULE_SEED } from '../schedule.ts';

const SCHEDULES = 1000;

// Guards against violations of the guarantees for configuration changes (see `ModelCluster`) under crashes, pauses,
// partitions, outages, lost responses and late writes.
test('the two-phase commit violates no guarantee in 1000 random schedules', async () => {
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
  // The schedules include changes that are only accepted, that are in force on every node, and that are refused.
  expect([...results].sort()).toEqual(['accepted', 'in-force', 'refused']);
});
