import { selectByPredictedCompletion } from '../../src/node/decisions/placement/predictedCompletion.ts';
import { WorkerReports } from '../../src/node/decisions/placement/workerReports.ts';
import {
  type AdmittedRequest,
  PoolAdmission,
} from '../../src/node/decisions/sharing/poolAdmission.ts';
import type { ShareRule } from '../../src/node/decisions/sharing/shareRules.ts';
import type { WaitingRequest } from '../../src/node/decisions/sharing/waitingRequest.ts';
import { type Random, seededRandom } from '../../src/shared/random.ts';
import { VirtualClock } from '../../src/shared/virtualClock.ts';
import { PacedWorker, SLOTS } from './pacedWorker.ts';
import { exponential } from './statistics.ts';

/** One kind of callers. */
export interface CallerKind {
  readonly name: string;
  readonly priority: number;
  readonly isUrgent: boolean;
  readonly isScoring: boolean;
  readonly perSecond: number;
  readonly workMs: readonly [number, number];
  readonly targetMs: readonly [number, number];
  readonly budgetMs: readonly [number, number];
  /** Number of the nodes that the callers use. */
  readonly nodes: number;
  readonly accountOf: (random: Random) => string;
}

export interface SharingScenario {
  readonly seed: number;
  readonly nodes: number;
  /** Pace of each worker in steps of 100 ms; while it is infinite, the worker is not registered. */
  readonly paces: readonly (readonly number[])[];
  readonly kinds: readonly CallerKind[];
  readonly durationMs: number;
}

/** How nodes treat requests; undefined: each is sent at once, as without admission. */
export type SharingVariant =
  | {
      readonly shares: (remoteUse: (account: string) => number) => ShareRule;
      readonly accountPlaces?: number;
    }
  | undefined;

/** What became of a call, over all its attempts. */
export type CallEnd = 'in time' | 'late' | 'refused' | 'refused late' | 'timed out';

export interface CallResult {
  readonly kind: string;
  readonly account: string;
  readonly end: CallEnd;
  /** When the client made its first attempt, in ms. */
  readonly atMs: number;
}

interface Call extends Pick<CallResult, 'account'> {
  readonly kind: CallerKind;
  readonly workMs: number;
  readonly targetMs: number;
  readonly budgetMs: number;
  /** When the client made its first attempt, in ms. */
  readonly sinceMs: number;
  /** Attempts of the client that were refused. */
  readonly returns: number;
}

/** Times that a client returns after a refusal. */
const MAX_RETURNS = 2;
const DEFAULT_RETRY_AFTER_MS = 100;
const WORKER_RETRY_MS = 15;
const MAX_REFUSALS = 6;
const ADVANCE_MS = 25;
/** A refusal after this time counts as late. */
const LATE_REFUSAL_MS = 100;
/** Age of what a node knows of an account's use at other nodes, in ms. */
const USE_AGE_MS = 1000;

const between = (random: Random, [from, to]: readonly [number, number]): number =>
  from + (to - from) * random();

class Node {
  readonly reports = new WorkerReports();

  readonly admission: PoolAdmission | undefined;

  readonly inFlight: number[];

  readonly started = new Map<WaitingRequest, (admitted: AdmittedRequest) => void>();

  readonly refused = new Map<WaitingRequest, (retryAfterMs: number) => void>();

  constructor(
    workers: number,
    random: Random,
    variant: SharingVariant,
    remote: (a: string) => number,
  ) {
    this.inFlight = Array.from({ length: workers }, () => 0);
    this.admission =
      variant &&
      new PoolAdmission({
        ...{ random, shares: variant.shares(remote) },
        accountPlaces: variant.accountPlaces,
      });
  }
}

/** Plays callers of several kinds and accounts against one pool; the admission decision is the product's own. */
export const runSharing = (scenario: SharingScenario, variant: SharingVariant) => {
  const clock = new VirtualClock(0);
  const random = seededRandom(scenario.seed);
  const workers = scenario.paces.map((paces) => new PacedWorker(clock, paces));
  const results: CallResult[] = [];
  // Use by account at all nodes in the current and the last period of `USE_AGE_MS`.
  let use = new Map<string, number>();
  let knownUse = new Map<string, number>();
  const remote = (account: string) => knownUse.get(account) ?? 0;
  const nodes = Array.from(
    { length: scenario.nodes },
    () => new Node(workers.length, random, variant, remote),
  );
  let idleWhileWaitingMs = 0;

  /** Indexes of the workers that are registered. */
  const present = () => workers.flatMap(({ pace }, index) => (pace === Infinity ? [] : [index]));

  const occupancy = (node: Node) => {
    const nowMs = clock.monotonicMs();
    return {
      workers: present().map((index) => ({
        slots: SLOTS,
        load: (node.inFlight[index] ?? 0) + (node.reports.of(String(index), nowMs)?.others ?? 0),
      })),
      inFlight: present().reduce((sum, index) => sum + (node.inFlight[index] ?? 0), 0),
    };
  };
  const advance = (node: Node) => {
    const progress = node.admission?.advance(occupancy(node), clock.monotonicMs());
    const forget = (waiting: WaitingRequest) => {
      node.started.delete(waiting);
      node.refused.delete(waiting);
    };
    for (const [waiting, admitted] of progress?.admitted ?? []) {
      const start = node.started.get(waiting);
      forget(waiting);
      start?.(admitted);
    }
    for (const [waiting, { retryAfterMs }] of progress?.refused ?? []) {
      const refuse = node.refused.get(waiting);
      forget(waiting);
      refuse?.(retryAfterMs);
    }
  };

  /** Sends a request to a worker; `finish` gets whether it was answered, refused, or ran out of time. */
  const send = (
    node: Node,
    call: Call,
    deadlineMs: number,
    finish: (end: 'answered' | 'refused' | 'timed out') => void,
    refusals = 0,
  ): void => {
    const nowMs = clock.monotonicMs();
    const { inFlight } = node;
    const candidates = present().map((index) => {
      const report = node.reports.of(String(index), nowMs);
      return {
        ...{ index, name: String(index), availabilityZone: '', slots: SLOTS },
        ...{ inFlight: node.inFlight[index] ?? 0, reportedRunning: report?.others },
        ...{ pace: report?.pace, paceAgeMs: report?.ageMs },
      };
    });
    const context = { availabilityZone: '', random, workMs: call.workMs, targetLatencyMs: 150 };
    const index = selectByPredictedCompletion(candidates, context)?.index ?? 0;
    const worker = workers[index];
    if (worker === undefined) return;
    const count = (change: number) => {
      inFlight[index] = (inFlight[index] ?? 0) + change;
    };
    const report = () =>
      node.reports.record(
        String(index),
        {
          ...{ running: worker.running, waiting: worker.load - worker.running, slots: SLOTS },
          pacePercent: 100 * worker.pace,
        },
        node.inFlight[index] ?? 0,
        clock.monotonicMs(),
      );
    let timer: Disposable | undefined;
    const cancel = worker.offer({
      workMs: call.workMs,
      done() {
        timer?.[Symbol.dispose]();
        count(-1);
        report();
        use.set(call.account, (use.get(call.account) ?? 0) + call.workMs);
        finish('answered');
      },
    });
    if (cancel === undefined) {
      report();
      if (refusals === MAX_REFUSALS) finish('refused');
      else {
        clock.schedule(WORKER_RETRY_MS, () => {
          if (clock.monotonicMs() > deadlineMs) finish('timed out');
          else send(node, call, deadlineMs, finish, refusals + 1);
        });
      }
      return;
    }
    count(1);
    timer = clock.schedule(deadlineMs - nowMs, () => {
      cancel();
      count(-1);
      finish('timed out');
    });
  };

  const attempt = (call: Call): void => {
    const { kind, account, targetMs, budgetMs } = call;
    const node = nodes[Math.floor(random() * Math.min(kind.nodes, nodes.length))];
    if (node === undefined) return;
    const { admission } = node;
    const startMs = clock.monotonicMs();
    const deadlineMs = startMs + budgetMs;
    const record = (end: CallEnd) =>
      results.push({ kind: kind.name, account, end, atMs: call.sinceMs });
    const refused = (retryAfterMs: number) => {
      const tookMs = clock.monotonicMs() - startMs;
      if (call.returns === MAX_RETURNS) {
        record(tookMs > LATE_REFUSAL_MS ? 'refused late' : 'refused');
      } else clock.schedule(retryAfterMs, () => attempt({ ...call, returns: call.returns + 1 }));
    };
    const start = (admitted?: AdmittedRequest) =>
      send(node, call, deadlineMs, (end) => {
        if (admitted !== undefined) admission?.release(admitted, clock.monotonicMs());
        const tookMs = clock.monotonicMs() - startMs;
        if (end === 'answered') record(tookMs <= targetMs ? 'in time' : 'late');
        else if (end === 'timed out') record('timed out');
        else refused(DEFAULT_RETRY_AFTER_MS);
        advance(node);
      });
    if (admission === undefined) {
      start();
      return;
    }
    const decision = admission.offer(
      {
        ...{ route: kind.name, account, priority: kind.priority, isUrgent: kind.isUrgent },
        ...{ isScoring: kind.isScoring, deadlineMs, targetMs: startMs + targetMs },
        workMs: (kind.workMs[0] + kind.workMs[1]) / 2,
      },
      occupancy(node),
      startMs,
    );
    if (decision.kind === 'admitted') start(decision.admitted);
    else if (decision.kind === 'refused') refused(decision.retryAfterMs);
    else {
      node.started.set(decision.waiting, start);
      node.refused.set(decision.waiting, refused);
      advance(node);
    }
  };

  for (const kind of scenario.kinds) {
    const arrive = () => {
      attempt({
        ...{ kind, account: kind.accountOf(random), returns: 0, sinceMs: clock.monotonicMs() },
        workMs: between(random, kind.workMs),
        targetMs: between(random, kind.targetMs),
        budgetMs: between(random, kind.budgetMs),
      });
      clock.schedule(exponential(random, 1000 / kind.perSecond), arrive);
    };
    clock.schedule(exponential(random, 1000 / kind.perSecond), arrive);
  }
  const tick = () => {
    for (const node of nodes) if ((node.admission?.waiting.size ?? 0) > 0) advance(node);
    const waits = nodes.some(({ admission }) => (admission?.waiting.size ?? 0) > 0);
    const queued = workers.some(({ load, running }) => load > running);
    const idle = present().reduce((sum, index) => sum + SLOTS - (workers[index]?.running ?? 0), 0);
    if (waits || queued) idleWhileWaitingMs += idle * ADVANCE_MS;
    clock.schedule(ADVANCE_MS, tick);
  };
  tick();
  const passUse = () => {
    knownUse = use;
    use = new Map();
    clock.schedule(USE_AGE_MS, passUse);
  };
  passUse();
  clock.advance(scenario.durationMs);
  const slotMs = workers.length * SLOTS * scenario.durationMs;
  return { results, idleShare: idleWhileWaitingMs / slotMs };
};
