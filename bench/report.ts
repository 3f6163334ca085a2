import { mkdir, writeFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import { parse, View } from 'vega';
import { compile, type TopLevelSpec } from 'vega-lite';
import {
  type ModelRollout,
  runTraining,
  type StragglerPolicy,
  type TrainingResult,
  type TrainingScenario,
} from './model/trainingModel.ts';
import { standardDeviation, mean, printTable } from './model/statistics.ts';

// Compares weight rollouts, steps in flight and straggler policies on the modelled engine pool, ranks them by each user's
// objective of trainer idle time and staleness, and writes docs/images/idle-staleness.svg. Command: npm run report
const SEEDS = 10;
const ROLLOUTS: readonly ModelRollout[] = [
  'all-at-once',
  'rolling',
  'interrupt-resume',
  'interrupt-after-callers',
  'interrupt-move-callers',
];

/** Weights of a user's objective. Staleness is counted in versions. */
interface User {
  readonly name: string;
  readonly trainerIdleWeight: number;
  readonly stalenessWeight: number;
}

/** Same weights as in the tables in examples/. */
const USERS: readonly User[] = [
  { name: 'Czujka Gazowa', trainerIdleWeight: 1, stalenessWeight: 3 },
  { name: 'Thornbury & Vail', trainerIdleWeight: 3, stalenessWeight: 1 },
];

/** With equal weights, a staleness of 4 versions (the default bound) counts as much as a trainer that is always idle. */
const STALENESS_SCALE_VERSIONS = 4;

interface Row {
  readonly scenario: Partial<TrainingScenario>;
  readonly results: readonly TrainingResult[];
}

const runSeeds = (scenario: Partial<TrainingScenario>): Row => ({
  scenario,
  results: Array.from({ length: SEEDS }, (_, index) =>
    runTraining({ ...scenario, seed: index + 1 }),
  ),
});

const meanOf = (row: Row, pick: (result: TrainingResult) => number): number =>
  mean(row.results.map(pick));

const formatCells = (row: Row): string[] => [
  meanOf(row, (result) => result.steps).toFixed(1),
  meanOf(row, (result) => result.idleFraction).toFixed(3),
  standardDeviation(row.results.map((result) => result.idleFraction)).toFixed(3),
  meanOf(row, (result) => result.meanStaleness).toFixed(2),
  meanOf(row, (result) => result.wastedFraction).toFixed(3),
  meanOf(row, (result) => result.callerP99Ms / 1000).toFixed(2),
  meanOf(row, (result) => result.mixedFraction).toFixed(3),
];

const COLUMNS = ['steps', 'idle', 'idle spread', 'staleness', 'wasted', 'caller p99 s', 'mixed'];

const objectiveOf = (row: Row, user: User): number =>
  user.trainerIdleWeight * meanOf(row, (result) => result.idleFraction) +
  (user.stalenessWeight * meanOf(row, (result) => result.meanStaleness)) / STALENESS_SCALE_VERSIONS;

const writePlot = async (rows: readonly Row[]): Promise<string> => {
  const spec: TopLevelSpec = {
    title: 'Trainer idle time against staleness, mean of 10 seeds',
    width: 560,
    height: 340,
    data: {
      values: rows.map((row) => ({
        rollout: row.scenario.rollout,
        steps: row.scenario.stepsInFlight,
        idle: meanOf(row, (result) => result.idleFraction),
        staleness: meanOf(row, (result) => result.meanStaleness),
      })),
    },
    encoding: {
      x: { field: 'staleness', type: 'quantitative', title: 'mean staleness (versions)' },
      y: { field: 'idle', type: 'quantitative', title: 'trainer idle time (share)' },
      color: { field: 'rollout', type: 'nominal', title: 'weight rollout' },
    },
    layer: [
      { mark: 'line', encoding: { order: { field: 'steps' } } },
      { mark: { type: 'point', filled: true, size: 60 } },
      { mark: { type: 'text', dy: -10 }, encoding: { text: { field: 'steps' } } },
    ],
  };
  const view = new View(parse(compile(spec).spec), { renderer: 'none' });
  const folder = fileURLToPath(new URL('../docs/images/', import.meta.url));
  await mkdir(folder, { recursive: true });
  await writeFile(`${folder}idle-staleness.svg`, await view.toSVG());
  return 'docs/images/idle-staleness.svg';
};

console.log(`Weight rollout and steps in flight (${SEEDS} seeds, one modelled hour each)\n`);
const rolloutRows = ROLLOUTS.flatMap((rollout) =>
  [1, 2, 3, 4].map((stepsInFlight) => runSeeds({ rollout, stepsInFlight })),
);
printTable(
  ['rollout', 'steps in flight', ...COLUMNS],
  rolloutRows.map((row) => [
    row.scenario.rollout ?? '',
    row.scenario.stepsInFlight ?? 0,
    ...formatCells(row),
  ]),
);

console.log('\nEngines that load weights at the same time (of 6, 2 steps in flight)\n');
printTable(
  ['rollout', 'at once', ...COLUMNS],
  (['interrupt-resume', 'interrupt-move-callers'] as const).flatMap((rollout) =>
    [1, 2, 3, 6].map((maxConcurrentLoads) => [
      rollout,
      maxConcurrentLoads,
      ...formatCells(runSeeds({ rollout, maxConcurrentLoads })),
    ]),
  ),
);

console.log('\nStragglers (interrupt-move-callers, 2 steps in flight)\n');
const stragglers: readonly StragglerPolicy[] = ['none', 'longest-first', 'duplicate-last'];
printTable(
  ['engines at half speed', 'policy', ...COLUMNS],
  [0, 1].flatMap((slowEngines) =>
    stragglers.map((policy) => [
      slowEngines,
      policy,
      ...formatCells(
        runSeeds({ slowEngines, stragglers: policy, rollout: 'interrupt-move-callers' }),
      ),
    ]),
  ),
);

console.log('\nStaleness bound (interrupt-move-callers, 3 steps in flight)\n');
printTable(
  ['bound in versions', ...COLUMNS],
  [1, 2, 3, 4, 8].map((maxStalenessVersions) => [
    maxStalenessVersions,
    ...formatCells(
      runSeeds({ maxStalenessVersions, stepsInFlight: 3, rollout: 'interrupt-move-callers' }),
    ),
  ]),
);

console.log('\nObjective (smaller is better) and recommended settings\n');
printTable(
  ['user', 'rollout', 'steps in flight', 'objective', 'idle', 'staleness', 'caller p99 s'],
  USERS.flatMap((user) =>
    [...rolloutRows]
      .sort((a, b) => objectiveOf(a, user) - objectiveOf(b, user))
      .slice(0, 3)
      .map((row) => [
        user.name,
        row.scenario.rollout ?? '',
        row.scenario.stepsInFlight ?? 0,
        objectiveOf(row, user).toFixed(3),
        meanOf(row, (result) => result.idleFraction).toFixed(3),
        meanOf(row, (result) => result.meanStaleness).toFixed(2),
        meanOf(row, (result) => result.callerP99Ms / 1000).toFixed(2),
      ]),
  ),
);
console.log(`\nwritten: ${await writePlot(rolloutRows)}`);
