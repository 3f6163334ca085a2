import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { RetryBudget } from '../retryBudget.ts';

// Guards against retries that multiply the load on workers that fail already.
test('retries stay within burst plus fraction in random runs', () => {
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

// Guards against a budget that pays for retries although the operator allows none.
test('a fraction of 0 allows no retry', () => {
  const budget = new RetryBudget({ fraction: 0 });
  budget.recordFirstAttempt();
  expect(budget.tryTake()).toEqual(false);
});
