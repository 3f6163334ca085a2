import { create } from '@bufbuild/protobuf';
import { InMemoryPlatform } from '../../../../playground/inMemoryPlatform.ts';
import { NodeIdentitySchema } from '../../../gen/hyssoppulley/v1/peer_pb.ts';
import { type Clock, sleep } from '../../../shared/clock.ts';
import { seededRandom } from '../../../shared/random.ts';
import { repeatEvery } from '../../../shared/repeat.ts';
import { VirtualClock } from '../../../shared/virtualClock.ts';
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
import { DutyRunner } from '../duty.ts';
import { FakeControl, LEASE_MS } from './fakeControl.ts';

/** Interval in which the duty of the tests calls, in ms. */
export const CALL_INTERVAL_MS = 1000;

/** Time that a call to the platform takes, in ms. */
const PLATFORM_LATENCY_MS = 10;

/** A clock whose timers do not run while the process is paused. */
class PausableClock implements Clock {
  paused = false;

  readonly #clock: VirtualClock;

  #waiting: (() => void)[] = [];

  constructor(clock: VirtualClock) {
    this.#clock = clock;
  }

  nowMs = () => this.#clock.nowMs();

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

/** A node that takes part in the election for a duty. */
export interface DutyNode {
  readonly name: string;
  readonly clock: PausableClock;
  readonly runner: DutyRunner;
  /** How the other nodes see it, whether it reaches the platform, and whether it has missed the latest heartbeats. */
  readonly state: {
    suspected: boolean;
    leaving: boolean;
    platformLost: boolean;
    uninformed: boolean;
  };
  /** Results of its calls. */
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
  return { read, write } as unknown as PlatformObjects;
};

/** Starts nodes that call the control API once a second while they hold the duty. */
export const startDutyNodes = (names: readonly string[], { fenced = true } = {}) => {
  const clock = new VirtualClock();
  const platform = new InMemoryPlatform();
  const control = new FakeControl(clock, fenced);
  const nodes: DutyNode[] = [];
  const identityOf = (name: string) =>
    create(NodeIdentitySchema, { name, incarnation: `${name}-1`, capacityMillicores: 675 });
  const start = (name: string) => {
    const nodeClock = new PausableClock(clock);
    const state = { suspected: false, leaving: false, platformLost: false, uninformed: false };
    const results: UsageReportResult[] = [];
    const runner = new DutyRunner({
      platform: delayed(platform, nodeClock, () => !state.platformLost),
      ...{ clock: nodeClock, random: seededRandom(1), logger: silentLogger },
      ...{ metrics: createMetrics(), fenced, leaseMs: LEASE_MS },
      control: {
        ...{ calls: control.callsOf(nodeClock), duties: ['usage-reports'], callsPerSecond: 50 },
      },
      view: {
        self: identityOf(name),
        get leaving() {
          return state.leaving;
        },
        peers: () =>
          nodes
            .filter((other) => other.name !== name)
            .map(
              (other) =>
                ({
                  ...{ identity: identityOf(other.name), ...other.state },
                  leases: state.uninformed ? [] : other.runner.heldLeases(),
                }) as unknown as Peer,
            ),
      },
      health: {
        get lost() {
          return state.platformLost;
        },
      },
      watchHolder: () => ({ [Symbol.dispose]() {} }),
      duty: {
        name: 'usage-reports',
        start: (context) =>
          repeatEvery(
            nodeClock,
            CALL_INTERVAL_MS,
            async () => {
              if (!(await context.verify())) return;
              results.push(await context.calls.reportUsage({ window: 1, counts: new Map() }));
            },
            0,
          ),
      },
    });
    nodes.push({ name, clock: nodeClock, runner, state, results });
  };
  names.forEach(start);
  const holder = () => nodes.find(({ runner }) => runner.heldLeases().length > 0);
  return {
    ...{ clock, platform, control, nodes, holder },
    [Symbol.dispose]() {
      for (const { runner } of nodes) runner[Symbol.dispose]();
    },
  };
};
