import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { type AssignableWorker, assignWorkersToModels } from '../workerAssignment.ts';

const workersOf = (count: number, capacity = 1): AssignableWorker[] =>
  Array.from({ length: count }, (_, index) => ({
    id: `w${index}`,
    capacity,
    runningOf: () => 0,
  }));

const counts = (shares: ReadonlyMap<string, string>) => {
  const byModel = new Map<string, number>();
  for (const model of shares.values()) byModel.set(model, (byModel.get(model) ?? 0) + 1);
  return byModel;
};

// Guards against a model that gets fewer workers than its share, and against unassigned workers.
test('with equal weights every worker has a model and the shares differ by at most one worker', () => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 6 }), fc.nat({ max: 30 }), (modelCount, workerCount) => {
      const models = Array.from({ length: modelCount }, (_, index) => `m${index}`);
      const shares = assignWorkersToModels(models, workersOf(workerCount), new Map());
      expect(shares.size).toEqual(workerCount);
      const sizes = models.map((model) => counts(shares).get(model) ?? 0);
      expect(Math.max(...sizes) - Math.min(...sizes) <= 1).toEqual(true);
    }),
    { seed: 20261204, numRuns: 200 },
  );
});

// Guards against needless loads caused by a new assignment although the current one is even.
test('an even assignment is kept unchanged', () => {
  const before = new Map([
    ['w0', 'b'],
    ['w1', 'a'],
    ['w2', 'b'],
    ['w3', 'a'],
  ]);
  expect(assignWorkersToModels(['a', 'b'], workersOf(4), before)).toEqual(before);
});

// Guards against a model that is left without workers when those assigned to it are gone or do not respond.
test('a model without workers gets half of them, and one whose workers are silent gets one of the others', () => {
  const before = new Map([
    ['w0', 'a'],
    ['w1', 'a'],
    ['w2', 'a'],
    ['w3', 'a'],
  ]);
  const shares = assignWorkersToModels(['a', 'b'], workersOf(4), before);
  expect(counts(shares)).toEqual(
    new Map([
      ['a', 2],
      ['b', 2],
    ]),
  );
  const silent = workersOf(4).map((worker, index) => ({ ...worker, capacity: index < 2 ? 0 : 1 }));
  const halves = new Map([
    ['w0', 'a'],
    ['w1', 'a'],
    ['w2', 'b'],
    ['w3', 'b'],
  ]);
  const moved = assignWorkersToModels(['a', 'b'], silent, halves);
  expect([moved.get('w2'), moved.get('w3')].filter((model) => model === 'a').length).toEqual(1);
});

// Guards against limiting the only model to a part of the pool.
test('a single model gets all workers', () => {
  expect(counts(assignWorkersToModels(['a'], workersOf(6), new Map()))).toEqual(
    new Map([['a', 6]]),
  );
});

// Guards against equal shares for unequal work, where a trainer waits although one with half of its work has as many
// workers (seen on czujka-ops-grown).
test('a model with twice the work gets six of nine workers, and a small change of its work moves none', () => {
  const workers = Array.from({ length: 9 }, (_, index) => ({
    id: `w${index}`,
    capacity: 1,
    runningOf: () => 0,
  }));
  const countOf = (shares: ReadonlyMap<string, string>, model: string) =>
    [...shares.values()].filter((each) => each === model).length;
  const weights = new Map([
    ['long', 200],
    ['short', 100],
  ]);
  const shares = assignWorkersToModels(
    ['long', 'short'],
    workers,
    new Map(),
    (m) => weights.get(m) ?? 0,
  );
  expect(countOf(shares, 'long')).toEqual(6);
  weights.set('long', 215);
  const later = assignWorkersToModels(
    ['long', 'short'],
    workers,
    shares,
    (m) => weights.get(m) ?? 0,
  );
  expect([...later]).toEqual([...shares]);
});

// Guards against a model whose new version no worker loads, because its share of the work is below half a worker.
test('a model with a small share of the work has a worker of its own', () => {
  const weightOf = (model: string) => (model === 'small' ? 1 : 30);
  const shares = assignWorkersToModels(['large', 'small'], workersOf(6), new Map(), weightOf);
  expect(counts(shares).get('small')).toEqual(1);
});
