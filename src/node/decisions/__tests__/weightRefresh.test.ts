import { test } from 'node:test';
import { expect } from 'earl';
import { type RefreshCandidate, workersToRefresh } from '../weightRefresh.ts';

const worker = (id: string, parts: Partial<RefreshCandidate> = {}): RefreshCandidate => ({
  id,
  version: 4,
  busy: false,
  loading: false,
  running: 0,
  ...parts,
});
const requirements = { newestVersion: 5, neededVersion: 4, hasWaiting: false, maxLoading: 2 };

// Guards against concurrent loads that slow each other down, and against a whole pool loading at the same time.
test('with a limit of two, two idle workers are chosen, or one while another is loading', () => {
  const workers = ['a', 'b', 'c'].map((id) => worker(id));
  expect(workersToRefresh(workers, requirements).length).toEqual(2);
  const loading = worker('d', { busy: true, loading: true });
  expect(workersToRefresh([loading, ...workers], requirements).length).toEqual(1);
});

// Guards against a pool that waits for workers that leave their orders unanswered (seen on day late-orders: no
// other worker was ordered for 3 s).
test('busy workers that are not counted as loading do not use up the limit', () => {
  const unanswered = ['a', 'b'].map((id) => worker(id, { busy: true }));
  const chosen = workersToRefresh([...unanswered, worker('c'), worker('d')], requirements);
  expect(chosen).toEqual(['c', 'd']);
});

// Guards against a load on a worker that the current step could still use.
test('a worker that can serve the waiting runs loads only when it is idle and no runs are waiting', () => {
  expect(workersToRefresh([worker('a', { running: 1 })], requirements)).toEqual([]);
  expect(workersToRefresh([worker('a')], { ...requirements, hasWaiting: true })).toEqual([]);
  expect(workersToRefresh([worker('a')], requirements)).toEqual(['a']);
});

// Guards against a step that is held up by workers whose weights are too old.
test('a worker that is too old for the waiting runs loads although it is running, and before idle workers', () => {
  const workers = [worker('idle'), worker('old', { version: 3, running: 2 })];
  const urgent = { ...requirements, hasWaiting: true, maxLoading: 1 };
  expect(workersToRefresh(workers, urgent)).toEqual(['old']);
});

// Guards against loads of a version that the worker already has, and of models that it does not serve.
test('workers that are up to date or do not have the model are not chosen', () => {
  const workers = [worker('new', { version: 5 }), worker('other', { version: undefined })];
  expect(workersToRefresh(workers, requirements)).toEqual([]);
});
