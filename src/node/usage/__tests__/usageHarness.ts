import { create } from '@bufbuild/protobuf';
import {
  ReportCountsRequestSchema,
  ReportCountsResponseSchema,
} from '../../../gen/hyssoppulley/v1/usage_pb.ts';
import { sleep, Stopwatch } from '../../../shared/clock.ts';
import { type Random, seededRandom } from '../../../shared/random.ts';
import {
  type DutyNodesOptions,
  type NodeParts,
  startDutyNodes,
} from '../../duties/__tests__/dutyHarness.ts';
import type { ForwardedRequest } from '../../gateway/forwardedRequest.ts';
import { silentLogger } from '../../observability/logger.ts';
import { createMetrics } from '../../observability/metrics.ts';
import type { ReportCounts } from '../usageExchange.ts';
import { UsageSubsystem } from '../usageSubsystem.ts';

export const WINDOW_MS = 5000;

export const DUE_MS = 10_000;

/** Time that a worker of the tests works on a request, in ms. */
const WORK_MS = 50;

/** Counts of one window, by account. */
type Counts = Map<string, number>;

/** Messages between nodes: the share that is lost, and the longest delay, in ms. */
export interface Network {
  lossShare: number;
  delayMs: number;
}

/** Starts nodes that count, exchange and report use; the true counts are kept beside them. */
export const startUsageNodes = (
  names: readonly string[],
  { seed = 1, fenced = true }: { readonly seed?: number } & DutyNodesOptions = {},
) => {
  const random: Random = seededRandom(seed);
  const network: Network = { lossShare: 0, delayMs: 5 };
  const subsystems = new Map<string, UsageSubsystem>();
  /** Names of nodes that exchange no messages. */
  const cutOff = new Set<string>();
  const callFrom =
    ({ identity, clock }: NodeParts): ReportCounts =>
    async (receiver, request, timeoutMs) => {
      const target = subsystems.get(receiver.incarnation);
      const isCut = () => cutOff.has(identity.name) || cutOff.has(receiver.name);
      const message = create(ReportCountsRequestSchema, request);
      await sleep(clock, 1 + random() * network.delayMs);
      // A late message arrives, but its sender does not wait for the response.
      const arrives = target !== undefined && !isCut() && random() >= network.lossShare;
      const response = arrives ? target.exchange.receive(message) : undefined;
      await sleep(clock, random() * network.delayMs);
      if (response !== undefined && random() >= network.lossShare) {
        return create(ReportCountsResponseSchema, response);
      }
      await sleep(clock, timeoutMs);
      throw new Error('no response');
    };
  const run = startDutyNodes(names, {
    fenced,
    createDuty: (parts) => {
      const { identity, clock, platform, view, holder } = parts;
      const subsystem = new UsageSubsystem({
        ...{ clock, platform, view, random, logger: silentLogger, metrics: createMetrics() },
        ...{ windowMs: WINDOW_MS, dueMs: DUE_MS, duties: { holderOf: holder } },
        call: callFrom(parts),
      });
      subsystems.set(identity.incarnation, subsystem);
      return subsystem.duty;
    },
  });
  const truth = new Map<number, Counts>();
  const startMs = run.clock.nowMs();
  const windowOf = (atMs: number) => Math.floor(atMs / WINDOW_MS);

  /** A caller sends a request of an account to a node, whose worker begins at once. */
  const request = async (name: string, account: string): Promise<void> => {
    const node = run.nodes.find((each) => each.name === name);
    const subsystem = node && subsystems.get(node.identity.incarnation);
    if (node === undefined || subsystem === undefined || node.clock.paused) return;
    // A leaving node is not sent requests any more.
    if (node.state.leaving) return;
    const window = windowOf(run.clock.nowMs());
    const counts = truth.get(window) ?? new Map<string, number>();
    truth.set(window, counts.set(account, (counts.get(account) ?? 0) + 1));
    const forwarded = { account: { name: account } } as unknown as ForwardedRequest;
    using attempt = subsystem.counter.startAttempt(forwarded, 'r');
    await sleep(node.clock, WORK_MS);
    attempt.began();
  };

  const usageOf = (name: string): UsageSubsystem => {
    const node = run.nodes.find((each) => each.name === name);
    const subsystem = node && subsystems.get(node.identity.incarnation);
    if (subsystem === undefined) throw new Error(`there is no node ${name}`);
    return subsystem;
  };

  /** Judges the windows that ended at least `DUE_MS` ago, without those before `fromMs` of the run. */
  const judge = (fromMs: number) => {
    const first = windowOf(startMs + fromMs) + 1;
    const last = windowOf(run.clock.nowMs() - DUE_MS) - 1;
    const result = { windows: 0, missing: 0, late: 0, inaccurate: 0, contradictory: 0 };
    for (let window = first; window <= last; window += 1) {
      const reports = run.control.executed.filter((call) => call.window === window);
      const [report] = reports;
      result.windows += 1;
      const texts = new Set(reports.map(({ counts }) => JSON.stringify([...counts].sort())));
      if (texts.size > 1) result.contradictory += 1;
      if (report === undefined) {
        result.missing += 1;
        continue;
      }
      if (report.atMs > (window + 1) * WINDOW_MS + DUE_MS) result.late += 1;
      const isInaccurate = [...(truth.get(window) ?? [])].some(
        ([account, count]) => Math.abs((report.counts.get(account) ?? 0) - count) > 0.05 * count,
      );
      if (isInaccurate) result.inaccurate += 1;
    }
    return result;
  };

  return {
    ...{ ...run, network, cutOff, truth, random, request, usageOf, judge },
    since: new Stopwatch(run.clock),
    [Symbol.dispose]() {
      run[Symbol.dispose]();
      for (const subsystem of subsystems.values()) subsystem[Symbol.dispose]();
    },
  };
};

export type UsageRun = ReturnType<typeof startUsageNodes>;

/** Sends about `perSecond` requests a second of three accounts to random nodes, for `durationMs`. */
export const sendRequests = async (
  run: UsageRun,
  durationMs: number,
  { perSecond = 240, onStep = () => {} }: { perSecond?: number; onStep?: () => void } = {},
): Promise<void> => {
  const stepMs = 25;
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
    onStep();
    for (let count = (perSecond * stepMs) / 1000; count > run.random(); count -= 1) {
      const node = run.nodes[Math.floor(run.random() * run.nodes.length)];
      const account = ['large', 'large', 'middle', 'small'][Math.floor(run.random() * 4)];
      void run.request(node?.name ?? '', account ?? '');
    }
    await run.clock.advanceAsync(stepMs);
  }
};

type Fault = (run: UsageRun, name: string, random: Random) => () => void;

const nodeOf = (run: UsageRun, name: string) => run.nodes.find((node) => node.name === name);

/** Faults by name; each returns the function that ends it. */
export const FAULTS: Readonly<Record<string, Fault>> = {
  crash: (run, name) => {
    run.restart(name);
    return () => {};
  },
  pause: (run, name) => {
    const node = nodeOf(run, name);
    if (node !== undefined) {
      node.clock.paused = true;
      node.state.suspected = true;
    }
    return () => {
      node?.clock.resume();
      if (node !== undefined) node.state.suspected = false;
    };
  },
  partition: (run, name) => {
    const node = nodeOf(run, name);
    run.cutOff.add(name);
    if (node !== undefined) node.state.suspected = true;
    return () => {
      run.cutOff.delete(name);
      if (node !== undefined) node.state.suspected = false;
    };
  },
  platformLoss: (run, name) => {
    const node = nodeOf(run, name);
    if (node !== undefined) node.state.platformLost = true;
    return () => {
      if (node !== undefined) node.state.platformLost = false;
    };
  },
  outage: (run) => {
    for (const { state } of run.nodes) state.platformLost = true;
    return () => {
      for (const { state } of run.nodes) state.platformLost = false;
    };
  },
  clockStep: (run, name, random) => {
    const node = nodeOf(run, name);
    if (node !== undefined) node.clock.wallOffsetMs = random() < 0.5 ? 2000 : -2000;
    return () => {
      if (node !== undefined) node.clock.wallOffsetMs = 0;
    };
  },
  silentControl: (run, _name, random) => {
    Object.assign(run.control, { mode: 'silent', lateMs: 1000 + 11_000 * random() });
    return () => Object.assign(run.control, { mode: 'answers' });
  },
  refusingControl: (run) => {
    Object.assign(run.control, { mode: 'refuses' });
    return () => Object.assign(run.control, { mode: 'answers' });
  },
  badNetwork: (run) => {
    Object.assign(run.network, { lossShare: 0.2, delayMs: 900 });
    return () => Object.assign(run.network, { lossShare: 0, delayMs: 5 });
  },
  plannedStop: (run, name) => {
    const node = nodeOf(run, name);
    if (node === undefined) return () => {};
    node.state.leaving = true;
    void node.runner.release();
    // The last requests are answered, and the counts are pushed before the exit.
    const usage = run.usageOf(name);
    run.clock.schedule(200, () => void usage.exchange.push());
    run.clock.schedule(700, () => run.restart(name));
    return () => {};
  },
};
