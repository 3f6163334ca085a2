import { test } from 'node:test';
import { expect } from 'earl';
import { runUneven, type UnevenScenario } from '../../../../../bench/model/unevenWorkersModel.ts';
import { seededRandom } from '../../../../shared/random.ts';
import { selectRandom, selectWorkerByDefault } from '../../workerSelection.ts';
import { AnswerTimes } from '../answerTimes.ts';
import {
  type PacedCandidate,
  predictedCompletionMs,
  selectByPredictedCompletion,
} from '../predictedCompletion.ts';
import { WorkerReports } from '../workerReports.ts';

const candidate = (name: string, overrides: Partial<PacedCandidate> = {}): PacedCandidate => ({
  ...{ name, availabilityZone: 'a', inFlight: 0, slots: 6 },
  ...overrides,
});

const CONTEXT = { availabilityZone: 'a', workMs: 60, targetLatencyMs: 150 };

const shareOf = (name: string, candidates: readonly PacedCandidate[]): number => {
  const random = seededRandom(7);
  const chosen = Array.from({ length: 1000 }, () =>
    selectByPredictedCompletion(candidates, { ...CONTEXT, random }),
  );
  return chosen.filter((worker) => worker?.name === name).length / chosen.length;
};

// Guards against a worker on a slow VM that keeps its share of the requests.
test('a worker that reports to be 8 times slower gets nothing while others can finish in time', () => {
  const slow = candidate('slow', { pace: 8, paceAgeMs: 100 });
  expect(shareOf('slow', [slow, ...['b', 'c', 'd'].map((name) => candidate(name))])).toEqual(0);
});

// Guards against waiting for the next report of a worker that has stopped to answer.
test('a worker counts as slow by its answers and by its oldest request where it reports no pace', () => {
  const usualMs = predictedCompletionMs(candidate('a'), CONTEXT);
  const measured = predictedCompletionMs(candidate('a', { slowness: 5 }), CONTEXT);
  const overdue = predictedCompletionMs(candidate('a', { oldestInFlightMs: 600 }), CONTEXT);
  expect([measured / usualMs, overdue / usualMs]).toEqual([5, 10]);
});

// Guards against a preference for the own zone that queues behind a busy worker of it.
test('a free worker of another zone is chosen before a busy one of the own zone', () => {
  const near = candidate('near', { inFlight: 6 });
  const far = candidate('far', { availabilityZone: 'b' });
  expect(shareOf('near', [near, far])).toEqual(0);
  expect(shareOf('near', [candidate('near'), far])).toEqual(1);
});

test('an empty list has no choice', () => {
  expect(selectByPredictedCompletion([], { ...CONTEXT, random: seededRandom(1) })).toEqual(
    undefined,
  );
});

// Guards against reports that are used although the worker may have changed since.
test('a report counts as unknown after 500 ms', () => {
  const reports = new WorkerReports();
  reports.record('w', { running: 6, waiting: 3, slots: 6, pacePercent: 400 }, 2, 1000);
  expect(reports.of('w', 1400)).toEqual({ others: 7, slots: 6, pace: 4, ageMs: 400 });
  expect(reports.of('w', 1500)).toEqual(undefined);
  expect(reports.has('w')).toEqual(true);
});

// Guards against one slow answer that suspects a worker for good, and against attempts that were given up early.
test('measured slowness fades and needs more than an attempt that was given up early', () => {
  const times = new AnswerTimes();
  for (let index = 0; index < 20; index += 1) {
    times.record({ route: 'r', worker: 'ok', tookMs: 50, complete: true }, index);
  }
  times.record({ route: 'r', worker: 'early', tookMs: 40, complete: false }, 100);
  times.record({ route: 'r', worker: 'slow', tookMs: 400, complete: false }, 100);
  expect(times.slownessOf('early', 100)).toEqual(1);
  expect(times.slownessOf('slow', 100) > 3).toEqual(true);
  expect(times.slownessOf('slow', 20_000) < 1.1).toEqual(true);
  expect((times.usualMs('r') ?? 0) > 45).toEqual(true);
});

const loads: readonly (readonly [string, Partial<UnevenScenario>])[] = [
  ['equal workers at 70%', { utilization: 0.7 }],
  ['slow workers', { slowShare: 0.2, utilization: 0.5 }],
  ['changing pace', { paceDeviation: 0.6, utilization: 0.5 }],
  ['slow workers and changing pace, 20%', { slowShare: 0.2, paceDeviation: 0.6 }],
];

// Guards against a selector that wins on slow workers and loses where workers are equal, or the views are too old.
for (const [title, scenario] of loads) {
  test(`load of 60 nodes, views 50 to 500 ms old: ${title}`, () => {
    const run = (select: typeof selectByPredictedCompletion) =>
      runUneven(select, { ...scenario, seed: 11, durationMs: 10_000 }).inTarget;
    const predicted = run(selectByPredictedCompletion);
    // Differences below 0.005 are within the spread of the seeds.
    expect(predicted >= run(selectWorkerByDefault) - 0.005).toEqual(true);
    expect(predicted >= run(selectRandom) - 0.005).toEqual(true);
    if (scenario.slowShare !== undefined) {
      expect(predicted >= run(selectWorkerByDefault) + 0.03).toEqual(true);
    }
  });
}
