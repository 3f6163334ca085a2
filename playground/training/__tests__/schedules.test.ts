import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { schedulesOf, violationsOf } from '../model/scheduleArbitrary.ts';

// Refusals are frequent in these runs, and recording their stacks takes most of the time.
Error.stackTraceLimit = 0;

// Guards against a lost, repeated, mixed-up or too stale sample and against two owners, under any mix of faults.
test('owners under faults hand every sample over exactly once', { timeout: 300_000 }, () =>
  fc.assert(
    fc.asyncProperty(schedulesOf(), async (schedule) => {
      expect(await violationsOf(schedule)).toEqual([]);
    }),
    { seed: 11, numRuns: 1000, endOnFailure: true },
  ),
);
