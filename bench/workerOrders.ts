import { WorkerOrderPlanner } from '../src/node/decisions/workerOrders/workerOrderPlanner.ts';
import { mean, printTable } from './model/statistics.ts';
import { type OrderOutcome, runWorkerOrders } from './model/workerOrderModel.ts';
import { orderScenarios, orderVariants } from './model/workerOrderScenarios.ts';

// Compares ways to order workers under steps of trainers. Each row is the mean over the seeds of a run of 60 s. `total` is
// the price and 100 for each late group. Command: npx tsx bench/workerOrders.ts
const SEEDS = 10;
const LATE_GROUP_PRICE = 100;

const columns: readonly (readonly [string, (outcome: OrderOutcome) => number])[] = [
  ['orders', ({ calls }) => calls],
  ['idle worker-s', ({ idleWorkerSeconds }) => idleWorkerSeconds],
  ['price', ({ price }) => price],
  ['late work s', ({ lateWorkSeconds }) => lateWorkSeconds],
  ['late groups', ({ lateGroups }) => lateGroups],
  ['groups in time', ({ groups, lateGroups }) => groups - lateGroups],
  ['total', ({ price, lateGroups }) => price + lateGroups * LATE_GROUP_PRICE],
];

for (const [title, scenario] of orderScenarios) {
  console.log(`\n${title} (${SEEDS} seeds)\n`);
  printTable(
    ['variant', ...columns.map(([name]) => name)],
    orderVariants.map(([name, options]) => {
      const outcomes = Array.from({ length: SEEDS }, (_, index) =>
        runWorkerOrders(new WorkerOrderPlanner(options), scenario, index + 1),
      );
      return [name, ...columns.map(([, valueOf]) => mean(outcomes.map(valueOf)).toFixed(1))];
    }),
  );
}
