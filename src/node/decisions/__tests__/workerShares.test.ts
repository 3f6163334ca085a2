import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { type SharedWorker, shareWorkers } from '../workerShares.ts';

const workersOf = (count: number, capacity = 1): SharedWorker[] =>
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

// Guards against a trainer that gets fewer workers than its share, and workers that nobody uses.
test('every worker has a model and the shares differ by one worker at most', () => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 6 }), fc.nat({ max: 30 }), (modelCount, workerCount) => {
      const models = Array.from({ length: modelCount }, (_, index) => `m${index}`);
      const shares = shareWorkers(models, workersOf(workerCount), new Map());
      expect(shares.size).toEqual(workerCount);
      const sizes = models.map((model) => counts(shares).get(model) ?? 0);
      expect(Math.max(...sizes) - Math.min(...sizes) <= 1).toEqual(true);
    }),
    { seed: 20261204, numRuns: 200 },
  );
});

// Guards against loads that are given for nothing because shares are dealt anew.
test('shares stay as they are while they are even', () => {
  const before = new Map([
    ['w0', 'b'],
    ['w1', 'a'],
    ['w2', 'b'],
    ['w3', 'a'],
  ]);
  expect(shareWorkers(['a', 'b'], workersOf(4), before)).toEqual(before);
});

// Guards against a trainer that is left without workers when its own are gone.
test('a model whose workers are gone or silent gets some of the others', () => {
  const before = new Map([
    ['w0', 'a'],
    ['w1', 'a'],
    ['w2', 'a'],
    ['w3', 'a'],
  ]);
  const shares = shareWorkers(['a', 'b'], workersOf(4), before);
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
  const moved = shareWorkers(['a', 'b'], silent, halves);
  expect([moved.get('w2'), moved.get('w3')].filter((model) => model === 'a').length).toEqual(1);
});

// Guards against a single trainer that is held to a part of the pool.
test('one model has all workers', () => {
  expect(counts(shareWorkers(['a'], workersOf(6), new Map()))).toEqual(new Map([['a', 6]]));
});

// Guards against trainers that wait because a trainer with half of their work has as many workers (czujka-ops-grown).
test('a model with more work gets more workers, and keeps them while its work stays about the same', () => {
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
  const shares = shareWorkers(['long', 'short'], workers, new Map(), (m) => weights.get(m) ?? 0);
  expect(countOf(shares, 'long')).toEqual(6);
  weights.set('long', 215);
  const later = shareWorkers(['long', 'short'], workers, shares, (m) => weights.get(m) ?? 0);
  expect([...later]).toEqual([...shares]);
});
