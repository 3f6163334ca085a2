import {
  byContention,
  bySubmission,
  byUrgency,
  type StepOrder,
} from '../src/node/decisions/items/stepOrder.ts';
import {
  byDueTime,
  byEqualShares,
  byLeastWork,
  byPlan,
} from '../src/node/decisions/items/stepOrderBaselines.ts';
import { mean, printTable } from './model/statistics.ts';
import { runSteps, type StepOutcome, type StepScenario } from './model/stepModel.ts';

// Compares orders of training steps that share too few slots. Each row is the mean over the seeds of a run of one minute.
// Command: npx tsx bench/steps.ts
const SEEDS = 6;

const variants: readonly (readonly [string, StepOrder])[] = [
  ['by submission (before)', bySubmission],
  ['equal shares', byEqualShares],
  ['earliest due time', byDueTime],
  ['least work left', byLeastWork],
  ['plan that gives up groups', byPlan],
  ['by urgency', byUrgency],
  ['by urgency if steps contend', byContention],
];

const scenarios: readonly (readonly [string, StepScenario])[] = [
  ['3 trainers, 120 slots', { slots: 120, trainers: 3, waits: true }],
  ['3 trainers, 60 slots', { slots: 60, trainers: 3, waits: true }],
  ['3 trainers, 36 slots', { slots: 36, trainers: 3, waits: true }],
  ['4 trainers, 36 slots', { slots: 36, trainers: 4, waits: true }],
  ['3 trainers, 60 slots, a step every 4 s in any case', { slots: 60, trainers: 3, waits: false }],
  ['3 trainers, 36 slots, a step every 4 s in any case', { slots: 36, trainers: 3, waits: false }],
];

const columns: readonly (readonly [string, (outcome: StepOutcome) => number, number])[] = [
  ['steps', ({ steps }) => steps, 0],
  ['steps in time', ({ stepsInTime }) => stepsInTime, 1],
  ['groups', ({ groups }) => groups, 0],
  ['groups in time', ({ groupsInTime }) => groupsInTime, 0],
  ['value', ({ value }) => value, 0],
  ['idle trainers', ({ idleShare }) => idleShare, 3],
  ['worst trainer', ({ worstTrainer }) => worstTrainer, 3],
];

for (const [title, scenario] of scenarios) {
  console.log(`\n${title} (${SEEDS} seeds)\n`);
  printTable(
    ['variant', ...columns.map(([name]) => name)],
    variants.map(([name, order]) => {
      const outcomes = Array.from({ length: SEEDS }, (_, index) =>
        runSteps(order, scenario, index + 1),
      );
      return [
        name,
        ...columns.map(([, valueOf, digits]) => mean(outcomes.map(valueOf)).toFixed(digits)),
      ];
    }),
  );
}
