import { create } from '@bufbuild/protobuf';
import { InMemoryPlatform } from '../../../../playground/inMemoryPlatform.ts';
import type { DutyRecord } from '../../../gen/hyssoppulley/v1/duty_pb.ts';
import { type NodeIdentity, NodeIdentitySchema } from '../../../gen/hyssoppulley/v1/peer_pb.ts';
import { type Clock, sleep } from '../../../shared/clock.ts';
import { seededRandom } from '../../../shared/random.ts';
import { repeatEvery } from '../../../shared/repeat.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
import type { ElectionView } from '../../election/holderElection.ts';
import type { Peer } from '../../membership/membershipView.ts';
import { silentLogger } from '../../observability/logger.ts';
import { createMetrics } from '../../observability/metrics.ts';
import {
  PlatformError,
  type PlatformObject,
  type PlatformObjects,
  type WriteResult,
} from '../../platform/platformClient.ts';
import type { UsageReportResult } from '../controlCalls.ts';
import { type Duty, DutyRunner } from '../duty.ts';
import { FakeControl, LEASE_MS } from './fakeControl.ts';

/** Interval in which the duty of the tests calls, in ms. */
export const CALL_INTERVAL_MS = 1000;

/** Time that a call to the platform takes, in ms. */
const PLATFORM_LATENCY_MS = 10;

/** A clock of one node: its timers do not run while the process is paused, and its wall clock may be stepped. */
export class PausableClock implements Clock {
  paused = false;

  wallOffsetMs = 0;

  readonly #clock: VirtualClock;

  #waiting: (() => void)[] = [];

  constructor(clock: VirtualClock) {
    this.#clock = clock;
  }

  nowMs = () => this.#clock.nowMs() + this.wallOffsetMs;

  monotonicMs = () => this.#clock.monotonicMs();

  schedule(delayMs: number, callback: () => void): Disposable {
    let cancelled = false;
    const run = () => {
      if (cancelled) return;
      if (this.paused) this.#waiting.push(run);
      else callback();
    };
    const timer = this.#clock.schedule(delayMs, run);
    return {
      [Symbol.dispose]() {
        cancelled = true;
        timer[Symbol.dispose]();
      },
    };
  }

  resume(): void {
    this.paused = false;
    for (const run of this.#waiting.splice(0)) run();
  }
}

/** How other nodes see a node, whether it reaches the platform, and whether it has missed the latest heartbeats. */
export interface NodeState {
  suspected: boolean;
  leaving: boolean;
  platformLost: boolean;
  uninformed: boolean;
}

/** What the duty of a node is built from. */
export interface NodeParts {
  readonly identity: NodeIdentity;
  readonly clock: PausableClock;
  readonly platform: PlatformObjects;
  readonly view: ElectionView;
  readonly holder: () => DutyRecord | undefined;
  /** Results of its calls. */
  readonly results: UsageReportResult[];
}

/** A node that takes part in the election for a duty. */
export interface DutyNode {
  readonly name: string;
  readonly clock: PausableClock;
  readonly runner: DutyRunner;
  readonly state: NodeState;
  readonly results: UsageReportResult[];
}

const delayed = (platform: InMemoryPlatform, clock: Clock, reachable: () => boolean) => {
  const unreachable = 'the platform is out of reach';
  const read = async (key: string): Promise<PlatformObject | undefined> => {
    if (!reachable()) throw new PlatformError(unreachable);
    const object = await platform.read(key);
    await sleep(clock, PLATFORM_LATENCY_MS);
    return object;
  };
  const write: PlatformObjects['write'] = async (...args): Promise<WriteResult> => {
    if (!reachable()) return { status: 'unavailable', reason: unreachable };
    const result = await platform.write(...args);
    await sleep(clock, PLATFORM_LATENCY_MS);
    return result;
  };
  const list: PlatformObjects['list'] = async (prefix) => {
    if (!reachable()) throw new PlatformError(unreachable);
    const objects = await platform.list(prefix);
    await sleep(clock, PLATFORM_LATENCY_MS);
    return objects;
  };
  const remove: PlatformObjects['remove'] = async (...args): Promise<WriteResult> => {
    if (!reachable()) return { status: 'unavailable', reason: unreachable };
    return platform.remove(...args);
  };
  return { read, write, list, remove } as unknown as PlatformObjects;
};

/** A duty that calls the control API once a second. */
const callingDuty = ({ clock, results }: NodeParts): Duty => ({
  name: 'usage-reports',
  start: (context) =>
    repeatEvery(
      clock,
      CALL_INTERVAL_MS,
      async () => {
        if (!(await context.verify())) return;
        results.push(await context.calls.reportUsage({ window: 1, counts: new Map() }));
      },
      0,
    ),
});

export interface DutyNodesOptions {
  readonly fenced?: boolean;
  /** @default a duty that calls once a second */
  readonly createDuty?: (parts: NodeParts) => Duty;
}

/** Starts nodes that take part in the election for the duty of usage reports. */
export const startDutyNodes = (
  names: readonly string[],
  { fenced = true, createDuty = callingDuty }: DutyNodesOptions = {},
) => {
  const clock = new VirtualClock();
  const platform = new InMemoryPlatform();
  const control = new FakeControl(clock, fenced);
  const nodes: (DutyNode & { readonly identity: NodeIdentity })[] = [];
  let starts = 0;
  const start = (name: string): void => {
    starts += 1;
    const incarnation = `${name}-${starts}`;
    const identity = create(NodeIdentitySchema, { name, incarnation, capacityMillicores: 675 });
    const nodeClock = new PausableClock(clock);
    const state = { suspected: false, leaving: false, platformLost: false, uninformed: false };
    const results: UsageReportResult[] = [];
    const nodePlatform = delayed(platform, nodeClock, () => !state.platformLost);
    const view = {
      self: identity,
      get leaving() {
        return state.leaving;
      },
      peers: () =>
        nodes
          .filter((other) => other.name !== name)
          .map(
            (other) =>
              ({
                ...{ identity: other.identity, ...other.state },
                leases: state.uninformed ? [] : other.runner.heldLeases(),
              }) as unknown as Peer,
          ),
    };
    let runner: DutyRunner | undefined;
    const duty = createDuty({
      ...{ identity, clock: nodeClock, platform: nodePlatform, view, results },
      holder: () => runner?.election.holder,
    });
    runner = new DutyRunner({
      ...{ platform: nodePlatform, clock: nodeClock, random: seededRandom(1), view, duty },
      ...{ logger: silentLogger, metrics: createMetrics(), fenced, leaseMs: LEASE_MS },
      control: {
        ...{ calls: control.callsOf(nodeClock), duties: ['usage-reports'], callsPerSecond: 50 },
      },
      health: {
        get lost() {
          return state.platformLost;
        },
      },
      watchHolder: () => ({ [Symbol.dispose]() {} }),
    });
    nodes.push({ name, identity, clock: nodeClock, runner, state, results });
  };
  /** Ends the process of a node without notice, and starts it again. */
  const restart = (name: string): void => {
    const index = nodes.findIndex((node) => node.name === name);
    const [ended] = nodes.splice(index, 1);
    if (ended !== undefined) ended.clock.paused = true;
    start(name);
  };
  names.forEach(start);
  const holder = () => nodes.find(({ runner }) => runner.heldLeases().length > 0);
  return {
    ...{ clock, platform, control, nodes, holder, restart },
    [Symbol.dispose]() {
      for (const { runner } of nodes) runner[Symbol.dispose]();
    },
  };
};
