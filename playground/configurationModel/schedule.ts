import fc from 'fast-check';
import { ModelCluster } from './modelCluster.ts';
import type { ModelVariant } from './modelNode.ts';

/** A change or a fault in a model cluster. Node numbers are taken modulo the cluster size. */
export type ModelEvent = { readonly atMs: number } & (
  | { readonly kind: 'apply'; readonly node: number; readonly useIfRevision: boolean }
  | { readonly kind: 'race'; readonly node: number; readonly gapMs: number }
  | { readonly kind: 'kill' | 'pause'; readonly node: number; readonly forMs: number }
  | {
      readonly kind: 'partition';
      readonly groups: readonly number[];
      readonly platform: readonly boolean[];
      readonly forMs: number;
    }
  /** A change whose coordinator crashes when a platform outage begins and restarts before the outage ends. */
  | {
      readonly kind: 'crashInOutage';
      readonly node: number;
      readonly delayMs: number;
      readonly restartMs: number;
      readonly forMs: number;
    }
  /** Some nodes are cut off from all other nodes and the platform while another node applies a change. */
  | {
      readonly kind: 'cutOff';
      readonly node: number;
      readonly count: number;
      readonly delayMs: number;
      readonly forMs: number;
    }
  | { readonly kind: 'outage'; readonly forMs: number }
  | { readonly kind: 'lostAnswers' | 'lateWrites'; readonly share: number; readonly forMs: number }
);

export interface ModelSchedule {
  readonly size: number;
  readonly seed: number;
  /** Maximum one-way latency of calls to the platform and of calls between nodes, in ms. */
  readonly platformLatencyMs: number;
  readonly peerLatencyMs: number;
  readonly events: readonly ModelEvent[];
}

const MAX_SIZE = 4;

/** Period in which events occur; at its end, all faults end. In ms. */
const ACTIVE_MS = 30_000;

/** Time after the last fault within which every change must be resolved and in force, in ms. */
const SETTLE_MS = 12_000;

const node = fc.nat(MAX_SIZE - 1);
/** Half of the events occur close to a few instants, so that faults coincide with changes in progress. */
const atMs = fc.oneof(
  fc.nat(ACTIVE_MS),
  fc.tuple(fc.nat(4), fc.nat(400)).map(([instant, offsetMs]) => instant * 6000 + offsetMs),
);
const forMs = fc.oneof(fc.integer({ min: 200, max: 5000 }), fc.integer({ min: 5000, max: 25_000 }));
const delayMs = fc.integer({ min: -1000, max: 3000 });
const share = fc.double({ min: 0.1, max: 0.7, noNaN: true });

const eventArbitrary: fc.Arbitrary<ModelEvent> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('apply' as const),
      atMs,
      node,
      useIfRevision: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant('race' as const), atMs, node, gapMs: fc.nat(40) }),
  },
  {
    weight: 3,
    arbitrary: fc.record({ kind: fc.constantFrom('kill', 'pause'), atMs, node, forMs }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('partition' as const),
      atMs,
      groups: fc.array(fc.nat(1), { minLength: MAX_SIZE, maxLength: MAX_SIZE }),
      platform: fc.array(fc.boolean(), { minLength: MAX_SIZE, maxLength: MAX_SIZE }),
      forMs,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('crashInOutage' as const),
      atMs,
      node,
      delayMs,
      restartMs: fc.integer({ min: 100, max: 4000 }),
      forMs,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('cutOff' as const),
      atMs,
      node,
      count: fc.integer({ min: 1, max: 3 }),
      delayMs,
      forMs,
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('outage' as const), atMs, forMs }) },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constantFrom('lostAnswers', 'lateWrites'),
      atMs,
      share,
      forMs,
    }),
  },
);

/** Seed from which the tests generate their schedules. */
export const SCHEDULE_SEED = 20_261_204;

/** Random schedules of changes and faults. */
export const modelSchedule: fc.Arbitrary<ModelSchedule> = fc.record({
  size: fc.integer({ min: 2, max: MAX_SIZE }),
  seed: fc.nat(2 ** 31 - 1),
  platformLatencyMs: fc.constantFrom(5, 100, 400),
  peerLatencyMs: fc.constantFrom(3, 50, 200),
  events: fc.array(eventArbitrary, { minLength: 2, maxLength: 10 }),
});

const applyEvent = (cluster: ModelCluster, event: ModelEvent, index: number): void => {
  const { names, platform, clock } = cluster;
  const nameOf = (number: number) => names[number % names.length] ?? '';
  const after = (waitMs: number, callback: () => void) =>
    void clock.schedule(waitMs, () => {
      if (!cluster.healed) callback();
    });
  switch (event.kind) {
    case 'apply':
      void cluster.apply(nameOf(event.node), `op${index}`, event.useIfRevision);
      break;
    case 'race':
      void cluster.apply(nameOf(event.node), `op${index}-left`, true);
      after(event.gapMs, () => {
        void cluster.apply(nameOf(event.node + 1), `op${index}-right`, true);
      });
      break;
    case 'kill':
      cluster.kill(nameOf(event.node));
      after(event.forMs, () => cluster.start(nameOf(event.node)));
      break;
    case 'pause':
      cluster.pause(nameOf(event.node));
      after(event.forMs, () => cluster.resume(nameOf(event.node)));
      break;
    case 'partition':
      names.forEach((name, number) =>
        cluster.setConnectivity(name, event.groups[number] ?? 0, event.platform[number] ?? true),
      );
      after(event.forMs, () => names.forEach((name) => cluster.setConnectivity(name, 0, true)));
      break;
    case 'crashInOutage':
      after(1000, () => void cluster.apply(nameOf(event.node), `op${index}`, false));
      after(1000 + event.delayMs, () => {
        platform.faults.outage = true;
        cluster.kill(nameOf(event.node));
      });
      after(1000 + event.delayMs + event.restartMs, () => cluster.start(nameOf(event.node)));
      after(1000 + event.delayMs + event.restartMs + event.forMs, () => {
        platform.faults.outage = false;
      });
      break;
    case 'cutOff': {
      const cutOff = Array.from({ length: Math.min(event.count, names.length - 1) }, (_, number) =>
        nameOf(event.node + 1 + number),
      );
      after(1000, () => void cluster.apply(nameOf(event.node), `op${index}`, false));
      after(1000 + event.delayMs, () =>
        cutOff.forEach((name) => cluster.setConnectivity(name, 1, false)),
      );
      after(1000 + event.delayMs + event.forMs, () =>
        cutOff.forEach((name) => cluster.setConnectivity(name, 0, true)),
      );
      break;
    }
    case 'outage':
      platform.faults.outage = true;
      after(event.forMs, () => {
        platform.faults.outage = false;
      });
      break;
    default:
      platform.faults[event.kind] = event.share;
      after(event.forMs, () => {
        platform.faults[event.kind] = 0;
      });
  }
};

/** Runs one schedule. Returns the cluster, which contains the recorded violations. */
export const runSchedule = async (
  { size, seed, platformLatencyMs, peerLatencyMs, events }: ModelSchedule,
  variant: ModelVariant = {},
): Promise<ModelCluster> => {
  const cluster = new ModelCluster(size, seed, peerLatencyMs, variant);
  cluster.platform.faults.latencyMs = platformLatencyMs;
  events.forEach((event, index) => {
    cluster.clock.schedule(event.atMs, () => applyEvent(cluster, event, index));
  });
  await cluster.clock.advanceAsync(ACTIVE_MS);
  cluster.heal();
  await cluster.clock.advanceAsync(SETTLE_MS);
  // Operators whose node was paused or who repeat their call wait longest.
  for (
    let rounds = 0;
    rounds < 12 && !cluster.changes.every(({ outcome }) => outcome);
    rounds += 1
  ) {
    await cluster.clock.advanceAsync(10_000);
  }
  cluster.checkEnd();
  return cluster;
};
