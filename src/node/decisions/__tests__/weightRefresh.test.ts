import { test } from 'node:test';
import { expect } from 'earl';
import { type WeightedWorker, workersToRefresh } from '../weightRefresh.ts';

const worker = (id: string, parts: Partial<WeightedWorker> = {}): WeightedWorker => ({
  id,
  version: 4,
  busy: false,
  loading: false,
  running: 0,
  ...parts,
});
const needs = { newestVersion: 5, neededVersion: 4, hasWaiting: false, maxLoading: 2 };

// Guards against loads that slow each other down, and against a pool that loads all at once.
test('no more workers load than may load at once', () => {
  const workers = ['a', 'b', 'c'].map((id) => worker(id));
  expect(workersToRefresh(workers, needs).length).toEqual(2);
  const loading = worker('d', { busy: true, loading: true });
  expect(workersToRefresh([loading, ...workers], needs).length).toEqual(1);
});

// Guards against a pool that waits for workers which leave their orders unanswered (own day late-orders: none of the others
// was ordered for 3 s).
test('a worker that does not answer its order leaves room for others', () => {
  const unanswered = ['a', 'b'].map((id) => worker(id, { busy: true }));
  const chosen = workersToRefresh([...unanswered, worker('c'), worker('d')], needs);
  expect(chosen).toEqual(['c', 'd']);
});

// Guards against a load that takes a worker from a step that it could still serve.
test('a worker that can run what waits loads only when it is idle', () => {
  expect(workersToRefresh([worker('a', { running: 1 })], needs)).toEqual([]);
  expect(workersToRefresh([worker('a')], { ...needs, hasWaiting: true })).toEqual([]);
  expect(workersToRefresh([worker('a')], needs)).toEqual(['a']);
});

// Guards against a step that waits for workers whose weights are too old.
test('a worker that is too old for what waits loads at once and first', () => {
  const workers = [worker('idle'), worker('old', { version: 3, running: 2 })];
  const urgent = { ...needs, hasWaiting: true, maxLoading: 1 };
  expect(workersToRefresh(workers, urgent)).toEqual(['old']);
});

// Guards against loads of a version that the worker has, and of models that it does not have.
test('workers that are up to date or without the model get no order', () => {
  const workers = [worker('new', { version: 5 }), worker('other', { version: undefined })];
  expect(workersToRefresh(workers, needs)).toEqual([]);
});
