import { test } from 'node:test';
import { expect } from 'earl';
import { type OrderOutcome, runWorkerOrders } from '../../../../../bench/model/workerOrderModel.ts';
import { orderScenarios, orderVariants } from '../../../../../bench/model/workerOrderScenarios.ts';
import { WorkerOrderPlanner } from '../workerOrderPlanner.ts';

const SEEDS = [1, 2, 3, 4];

const run = (variant: string, scenario: (typeof orderScenarios)[number][1]): OrderOutcome[] => {
  const options = orderVariants.find(([name]) => name === variant)?.[1];
  return SEEDS.map((seed) => runWorkerOrders(new WorkerOrderPlanner(options), scenario, seed));
};

const total = (outcomes: readonly OrderOutcome[], valueOf: (outcome: OrderOutcome) => number) =>
  outcomes.reduce((sum, outcome) => sum + valueOf(outcome), 0);

// Guards against orders that save workers at the cost of late steps, that oscillate, and that leave a pool without enough
// workers after a reclaim. The loads are those of `npx tsx bench/workerOrders.ts`.
for (const [title, scenario] of orderScenarios) {
  test(`the chosen variant costs less than half of a fixed number and is not late: ${title}`, () => {
    const chosen = run('by due work with notice', scenario);
    const fixed = run('fixed number', scenario);
    const groups = total(chosen, (outcome) => outcome.groups);
    const inTime = groups - total(chosen, ({ lateGroups }) => lateGroups);
    const fixedInTime = total(fixed, (outcome) => outcome.groups - outcome.lateGroups);
    expect(inTime / groups >= 0.995).toEqual(true);
    expect(inTime / fixedInTime >= 0.92).toEqual(true);
    expect(total(chosen, ({ price }) => price) < 0.5 * total(fixed, ({ price }) => price)).toEqual(
      true,
    );
    // One order a second at most would be 240 in four runs of 60 s.
    expect(total(chosen, ({ calls }) => calls) < 200).toEqual(true);
  });
}

// Guards against a model so light that it does not tell the variants apart.
test('orders by open due work alone are late under a wave', () => {
  const [wave] = orderScenarios;
  const late = wave === undefined ? 0 : total(run('by due work', wave[1]), (o) => o.lateGroups);
  expect(late > 40).toEqual(true);
});
