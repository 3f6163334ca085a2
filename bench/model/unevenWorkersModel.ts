import { AnswerTimes } from '../../src/node/decisions/placement/answerTimes.ts';
import type {
  CompletionSelector,
  PacedCandidate,
} from '../../src/node/decisions/placement/predictedCompletion.ts';
import { seededRandom } from '../../src/shared/random.ts';
import { VirtualClock } from '../../src/shared/virtualClock.ts';
import { PACE_STEP_MS, PacedWorker, SLOTS } from './pacedWorker.ts';
import { exponential, normal, quantile } from './statistics.ts';

export interface UnevenScenario {
  readonly seed: number;
  readonly workers: number;
  readonly nodes: number;
  /** Mean work of the requests relative to the slots of all workers at their usual pace. */
  readonly utilization: number;
  /** Share of the time in which a worker is 4 to 8 times slower, in phases of 5 s. */
  readonly slowShare: number;
  /** Standard deviation of the logarithm of the pace, which is drawn anew every 100 ms. */
  readonly paceDeviation: number;
  /**
   * `50 to 500`: each view of a worker is 50 to 500 ms old. `answers`: a node knows the reports of the answers that it
   * has received itself.
   */
  readonly views: '50 to 500' | 'answers';
  readonly durationMs: number;
}

export const DEFAULT_UNEVEN: UnevenScenario = {
  ...{ seed: 1, workers: 12, nodes: 60, utilization: 0.2, slowShare: 0, paceDeviation: 0 },
  ...{ views: '50 to 500', durationMs: 30_000 },
};

const TARGET_MS = 150;
const MIN_WORK_MS = 30;
const MAX_WORK_MS = 90;
const SLOW_PHASE_MS = 5000;
const SNAPSHOT_MS = 10;
const MAX_VIEW_AGE_MS = 500;
const REFUSAL_RETRY_MS = 15;
const MAX_REFUSALS = 6;

interface View {
  readonly others: number;
  readonly pace: number;
  readonly atMs: number;
}

/** Plays requests of many nodes to one pool of uneven workers; returns latencies in ms, Infinity for refused ones. */
export const runUneven = (
  select: CompletionSelector,
  overrides: Partial<UnevenScenario> = {},
): { readonly p50Ms: number; readonly p99Ms: number; readonly inTarget: number } => {
  const scenario = { ...DEFAULT_UNEVEN, ...overrides };
  const clock = new VirtualClock(0);
  const random = seededRandom(scenario.seed);
  const paceRandom = seededRandom(scenario.seed + 1_000_003);
  const snapshots: { readonly load: number; readonly pace: number }[][] = [];
  const workers = Array.from({ length: scenario.workers }, () => {
    snapshots.push([]);
    let slowness = 1;
    const offset = Math.floor(paceRandom() * (SLOW_PHASE_MS / PACE_STEP_MS));
    return new PacedWorker(
      clock,
      Array.from({ length: scenario.durationMs / PACE_STEP_MS + 600 }, (_, step) => {
        if ((step + offset) % (SLOW_PHASE_MS / PACE_STEP_MS) === 0 || step === 0) {
          slowness = paceRandom() < scenario.slowShare ? 4 + 4 * paceRandom() : 1;
        }
        return slowness * Math.exp(scenario.paceDeviation * normal(paceRandom));
      }),
    );
  });
  const nodes = Array.from({ length: scenario.nodes }, (_, index) => ({
    availabilityZone: String(index % 3),
    answers: new AnswerTimes(),
    inFlight: workers.map((): number[] => []),
    views: workers.map((): View | undefined => undefined),
  }));
  const latenciesMs: number[] = [];

  const viewOf = (worker: number, own: number): View | undefined => {
    const ageMs = 50 + 450 * random();
    const nowMs = clock.monotonicMs();
    const snapshot = snapshots[worker]?.[Math.floor((nowMs - ageMs) / SNAPSHOT_MS)];
    return snapshot === undefined
      ? undefined
      : { others: Math.max(0, snapshot.load - own), pace: snapshot.pace, atMs: nowMs - ageMs };
  };
  const send = (
    node: (typeof nodes)[number],
    workMs: number,
    startedMs: number,
    refusals: number,
  ) => {
    const nowMs = clock.monotonicMs();
    const candidates = workers.map((_, index): PacedCandidate & { index: number } => {
      const own = node.inFlight[index] ?? [];
      const view = scenario.views === 'answers' ? node.views[index] : viewOf(index, own.length);
      const known = view !== undefined && nowMs - view.atMs <= MAX_VIEW_AGE_MS;
      return {
        ...{ index, name: String(index), availabilityZone: String(index % 3), slots: SLOTS },
        inFlight: own.length,
        reportedRunning: known ? view.others : undefined,
        pace: known ? view.pace : undefined,
        paceAgeMs: known ? nowMs - view.atMs : undefined,
        slowness: node.answers.slownessOf(String(index), nowMs),
        oldestInFlightMs: own.length === 0 ? 0 : nowMs - Math.min(...own),
      };
    });
    const chosen = select(candidates, {
      ...{ availabilityZone: node.availabilityZone, random, targetLatencyMs: TARGET_MS },
      workMs: node.answers.usualMs('route') ?? TARGET_MS / 2,
    });
    const worker = workers[chosen?.index ?? 0];
    const own = node.inFlight[chosen?.index ?? 0];
    if (worker === undefined || own === undefined || chosen === undefined) return;
    const done = () => {
      const endMs = clock.monotonicMs();
      latenciesMs.push(endMs - startedMs);
      own.splice(own.indexOf(nowMs), 1);
      const { index } = chosen;
      const { views } = node;
      node.answers.record(
        { route: 'route', worker: String(index), tookMs: endMs - nowMs, complete: true },
        endMs,
      );
      const others = Math.max(0, worker.load - own.length);
      views[index] = { others, pace: worker.pace, atMs: endMs };
    };
    if (worker.offer({ workMs, done }) !== undefined) own.push(nowMs);
    else if (refusals === MAX_REFUSALS) latenciesMs.push(Infinity);
    else clock.schedule(REFUSAL_RETRY_MS, () => send(node, workMs, startedMs, refusals + 1));
  };

  const meanWorkMs = (MIN_WORK_MS + MAX_WORK_MS) / 2;
  const intervalMs = meanWorkMs / (scenario.utilization * scenario.workers * SLOTS);
  const arrive = () => {
    const node = nodes[Math.floor(random() * nodes.length)];
    const workMs = MIN_WORK_MS + (MAX_WORK_MS - MIN_WORK_MS) * random();
    if (node !== undefined) send(node, workMs, clock.monotonicMs(), 0);
    clock.schedule(exponential(random, intervalMs), arrive);
  };
  const snapshot = () => {
    for (const [index, { load, pace }] of workers.entries()) snapshots[index]?.push({ load, pace });
    clock.schedule(SNAPSHOT_MS, snapshot);
  };
  snapshot();
  arrive();
  clock.advance(scenario.durationMs);
  const inTarget = latenciesMs.filter((latencyMs) => latencyMs <= TARGET_MS).length;
  return {
    p50Ms: quantile(latenciesMs, 0.5),
    p99Ms: quantile(latenciesMs, 0.99),
    inTarget: inTarget / latenciesMs.length,
  };
};
