import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { RetryBudget } from '../retryBudget.ts';

// Guards against retries that multiply the load on workers that are already failing.
test('random sequences grant at most burst plus fraction times first attempts retries', () => {
  fc.assert(
    fc.property(
      fc.array(fc.boolean(), { maxLength: 3000 }),
      fc.double({ min: 0, max: 1, noNaN: true }),
      fc.nat(20),
      (events, fraction, burst) => {
        const budget = new RetryBudget({ fraction, burst });
        let first = 0;
        let granted = 0;
        for (const isFirst of events) {
          if (isFirst) {
            budget.recordFirstAttempt();
            first += 1;
          } else if (budget.tryTake()) granted += 1;
          expect(granted <= burst + fraction * first + 1e-6).toEqual(true);
        }
      },
    ),
    { seed: 20_260_102, numRuns: 300 },
  );
});

// Guards against granting the initial burst although the operator has disabled retries.
test('a fraction of 0 allows no retry', () => {
  const budget = new RetryBudget({ fraction: 0 });
  budget.recordFirstAttempt();
  expect(budget.tryTake()).toEqual(false);
});
