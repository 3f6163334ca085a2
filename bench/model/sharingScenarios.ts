import {
  createDeficitRoundRobin,
  createFairQueueing,
  createFirstComeFirstServed,
  createGlobalFairQueueing,
} from '../../src/node/decisions/sharing/shareRules.ts';
import { seededRandom } from '../../src/shared/random.ts';
import { PACE_STEP_MS, SLOTS } from './pacedWorker.ts';
import type { CallerKind, SharingScenario, SharingVariant } from './sharingModel.ts';

export const sharingVariants: readonly (readonly [string, SharingVariant])[] = [
  ['sent at once (before)', undefined],
  ['first come first served', { shares: createFirstComeFirstServed }],
  ['the same, places bounded', { shares: createFirstComeFirstServed, accountPlaces: 1 / 16 }],
  ['fair queueing', { shares: createFairQueueing }],
  ['the same, places bounded', { shares: createFairQueueing, accountPlaces: 1 / 16 }],
  ['fair queueing, use at all nodes', { shares: (of) => createGlobalFairQueueing({ of }) }],
  ['deficit round robin', { shares: () => createDeficitRoundRobin() }],
];

const WORK_MS: readonly [number, number] = [30, 90];
const MEAN_WORK_MS = 60;
const ACCOUNTS = 80;

/** One account that sends the larger part against 79 others; the nodes share the callers. */
export const heavyAccount = (
  seed: number,
  load: number,
  durationMs: number,
  nodes = 8,
): SharingScenario => {
  const workers = 8;
  const kind = (name: string, share: number, accountOf: CallerKind['accountOf']): CallerKind => ({
    ...{ name, priority: 0, isUrgent: true, isScoring: false, nodes, accountOf },
    perSecond: (share * load * workers * SLOTS * 1000) / MEAN_WORK_MS,
    ...{ workMs: WORK_MS, targetMs: [150, 150], budgetMs: [1500, 2000] },
  });
  return {
    ...{ seed, nodes, durationMs },
    paces: Array.from({ length: workers }, () => [1]),
    kinds: [
      kind('heavy', 0.7, () => 'heavy'),
      kind('others', 0.3, (random) => `account-${1 + Math.floor(random() * (ACCOUNTS - 1))}`),
    ],
  };
};

/** What befalls the workers of the service between seconds 5 and 10. */
export type Trouble = 'none' | 'slow' | 'fewer';

/**
 * Urgent callers at all nodes and scoring calls of one dispatcher, at a fifth of the capacity. In trouble all workers are
 * 4 to 8 times slower for 5 s, or six of seven are gone.
 */
export const competingKinds = (seed: number, trouble: Trouble): SharingScenario => {
  const workers = 7;
  const random = seededRandom(seed + 77);
  const steps = 20_000 / PACE_STEP_MS;
  const paceAt = (worker: number, step: number, slowness: number) => {
    const atMs = step * PACE_STEP_MS;
    if (atMs < 5000 || atMs >= 10_000) return 1;
    if (trouble === 'slow') return slowness;
    return trouble === 'fewer' && worker >= 1 ? Infinity : 1;
  };
  return {
    ...{ seed, nodes: 60, durationMs: 15_000 },
    paces: Array.from({ length: workers }, (_, worker) => {
      const slowness = 4 + 4 * random();
      return Array.from({ length: steps }, (__, step) => paceAt(worker, step, slowness));
    }),
    kinds: [
      {
        ...{ name: 'urgent', priority: 0, isUrgent: true, isScoring: false, nodes: 60 },
        ...{ perSecond: 8.4, workMs: [20, 30], targetMs: [150, 150], budgetMs: [1500, 2000] },
        accountOf: (draw) => `account-${Math.floor(draw() * ACCOUNTS)}`,
      },
      {
        ...{ name: 'scoring', priority: 5, isUrgent: false, isScoring: true, nodes: 1 },
        ...{ perSecond: 70, workMs: [30, 206], targetMs: [150, 800], budgetMs: [1500, 3000] },
        accountOf: () => '',
      },
    ],
  };
};
