import {
  type CompletionSelector,
  createPredictedCompletion,
  selectByPredictedCompletion,
} from '../src/node/decisions/placement/predictedCompletion.ts';
import { selectRandom, selectWorkerByDefault } from '../src/node/decisions/workerSelection.ts';
import { mean, printTable } from './model/statistics.ts';
import { runUneven, type UnevenScenario } from './model/unevenWorkersModel.ts';

// Compares selectors on a pool of workers that share their VMs, on a virtual clock. Each row is the mean over the seeds.
// Command: npx tsx bench/unevenWorkers.ts [--variants]
const SEEDS = 5;

const slow = { slowShare: 0.2 };
const changing = { paceDeviation: 0.6 };
const scenarios: readonly (readonly [string, Partial<UnevenScenario>])[] = [
  ['equal, 20%', {}],
  ['equal, 70%', { utilization: 0.7 }],
  ['a fifth 4 to 8 times slower for 5 s, 20%', slow],
  ['a fifth 4 to 8 times slower for 5 s, 50%', { ...slow, utilization: 0.5 }],
  ['pace changing every 100 ms, 20%', changing],
  ['pace changing every 100 ms, 50%', { ...changing, utilization: 0.5 }],
  ['both, 20%', { ...slow, ...changing }],
  ['both, 50%', { ...slow, ...changing, utilization: 0.5 }],
  ['both, 20%, own answers only', { ...slow, ...changing, views: 'answers' }],
  [
    'both, 50%, one node, own answers',
    { ...slow, ...changing, utilization: 0.5, nodes: 1, views: 'answers' },
  ],
  ['equal, 70%, own answers only', { utilization: 0.7, views: 'answers' }],
];

const policies: readonly (readonly [string, CompletionSelector])[] = [
  ['random', selectRandom],
  ['default', selectWorkerByDefault],
  ['predicted completion', selectByPredictedCompletion],
  ...(process.argv.includes('--variants')
    ? ([
        ['reports at a quarter', createPredictedCompletion({ reportWeight: 0.25 })],
        ['reports in full', createPredictedCompletion({ reportWeight: 1 })],
        ['all reported paces', createPredictedCompletion({ ordinaryPace: 1 })],
        ['pace half-life 100 ms', createPredictedCompletion({ paceHalfLifeMs: 100 })],
        ['pace half-life 300 ms', createPredictedCompletion({ paceHalfLifeMs: 300 })],
        ['pace as reported', createPredictedCompletion({ paceHalfLifeMs: Infinity })],
        ['one pair', createPredictedCompletion({ draws: 1 })],
        ['six pairs', createPredictedCompletion({ draws: 6 })],
      ] as const)
    : []),
];

const rows = scenarios.flatMap(([title, scenario]) =>
  policies.map(([name, select]) => {
    const results = Array.from({ length: SEEDS }, (_, index) =>
      runUneven(select, { ...scenario, seed: index + 1 }),
    );
    return [
      title,
      name,
      mean(results.map(({ p50Ms }) => p50Ms)).toFixed(0),
      mean(results.map(({ p99Ms }) => p99Ms)).toFixed(0),
      mean(results.map(({ inTarget }) => inTarget)).toFixed(4),
    ];
  }),
);
printTable(['load', 'selector', 'p50 ms', 'p99 ms', 'within 150 ms'], rows);
