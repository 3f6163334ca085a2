import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { schedulesOf, violationsOf } from '../model/scheduleArbitrary.ts';
import type { Schedule } from '../model/trainingModel.ts';
import { WEAKENINGS } from '../model/weakenings.ts';

Error.stackTraceLimit = 0;

/** Largest number of schedules in which a weaker rule must fail. */
const MAX_RUNS = 1500;

// Guards against a harness that could not notice the lack of a rule: each weaker rule must fail in it, while the
// product's rules pass the same schedule.
for (const { name, variant, expected, kinds, seed } of WEAKENINGS) {
  test(`${name} fails where the product passes`, { timeout: 300_000 }, async (context) => {
    let failing: Schedule | undefined;
    let runs = 0;
    const details = await fc.check(
      fc.asyncProperty(schedulesOf(kinds), async (schedule) => {
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
