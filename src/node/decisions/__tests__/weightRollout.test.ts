import { test } from 'node:test';
import { expect } from 'earl';
import {
  interruptResume,
  interruptResumeForCallers,
  type RolloutPolicy,
  type WorkerWeightReport,
  WeightRollout,
} from '../weightRollout.ts';

const LOAD_MS = 6000;
const STEP_MS = 500;

/** Simulates a rollout on workers that take `LOAD_MS` to load. Returns its duration and the peak number of loads. */
const runRollout = (policy: RolloutPolicy, names: readonly string[], failing = '') => {
  const rollout = new WeightRollout({
    policy,
    loadsPerSecond: 2000,
    burst: 2000,
    loadTimeoutMs: 60_000,
    maxAttempts: 3,
  });
  const readyAtMs = new Map<string, number>();
  const loaded = new Map<string, number>();
  const report = (name: string, atMs: number): WorkerWeightReport => {
    const endMs = readyAtMs.get(name);
    if (endMs !== undefined && endMs > atMs) return { name, state: 'loading', loaded: undefined };
    if (endMs !== undefined && name !== failing) loaded.set(name, 2);
    const state = endMs !== undefined && name === failing ? 'failed' : 'ready';
    return { name, state, loaded: loaded.get(name) ?? 1 };
  };
  let mostLoading = 0;
  let nowMs = 0;
  for (; nowMs < 600_000 && (nowMs === 0 || !rollout.settled); nowMs += STEP_MS) {
    const atMs = nowMs;
    const workers = names.map((name) => report(name, atMs));
    mostLoading = Math.max(mostLoading, workers.filter(({ state }) => state === 'loading').length);
    for (const { name } of rollout.next(2, workers, nowMs)) readyAtMs.set(name, nowMs + LOAD_MS);
  }
  return { mostLoading, nowMs, loaded, outOfService: rollout.outOfService };
};

const NAMES = Array.from({ length: 8 }, (_, index) => `engine-${index}`);

// Guards against callers that wait for a whole pool to load: three quarters of it must keep serving.
test('interruptResumeForCallers loads at most two of eight workers concurrently, interruptResume all eight', () => {
  const limited = runRollout(interruptResumeForCallers, NAMES);
  expect(limited.mostLoading).toEqual(2);
  expect([...limited.loaded.values()]).toEqual(NAMES.map(() => 2));
  expect(runRollout(interruptResume, NAMES).mostLoading).toEqual(8);
});

// Guards against a worker that cannot load and either blocks the rollout or keeps serving with unknown weights.
test('a worker that fails to load is taken out of service and the other seven are updated', () => {
  const { loaded, outOfService } = runRollout(interruptResumeForCallers, NAMES, 'engine-3');
  expect([...outOfService]).toEqual(['engine-3']);
  expect(loaded.size).toEqual(7);
});
