import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { schedulesOf, violationsOf } from '../model/scheduleArbitrary.ts';
import type { Schedule } from '../model/trainingModel.ts';
import { MUTATIONS } from '../model/mutations.ts';

Error.stackTraceLimit = 0;

/** Maximum number of schedules until a mutation must be detected. */
const MAX_RUNS = 1500;

// Guards against a model that cannot detect a weakened rule: for each mutation a schedule must fail that the production
// rules pass.
for (const { name, variant, expected, faultKinds, seed } of MUTATIONS) {
  test(`${name}: the model detects this mutation`, { timeout: 300_000 }, async (context) => {
    let failing: Schedule | undefined;
    let runs = 0;
    const details = await fc.check(
      fc.asyncProperty(schedulesOf(faultKinds), async (schedule) => {
        runs += 1;
        const violations = await violationsOf(schedule, variant);
        if (!violations.some((violation) => expected.test(violation))) return;
        failing = schedule;
        throw new Error(violations.join());
      }),
      { seed, numRuns: MAX_RUNS, endOnFailure: true },
    );
    expect(details.failed).toEqual(true);
    context.diagnostic(`seed ${seed}, schedule ${runs}: ${String(details.errorInstance)}`);
    expect(failing && (await violationsOf(failing))).toEqual([]);
  });
}
