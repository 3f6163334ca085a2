import {
  dueWorkNeed,
  fixedNeed,
  queueNeed,
  steadyNeed,
} from '../../src/node/decisions/workerOrders/workerNeed.ts';
import {
  ordinaryOnly,
  spotWithReserve,
  unchanged,
} from '../../src/node/decisions/workerOrders/workerTargets.ts';
import type { WorkerOrderPlannerOptions } from '../../src/node/decisions/workerOrders/workerOrderPlanner.ts';
import type { ScalingBounds } from '../../src/node/gateway/gatewayTables.ts';
import type { OrderScenario } from './workerOrderModel.ts';

const boundsOf = (prices: readonly number[], maxWorkers: number): ScalingBounds => ({
  ...{ minWorkers: 1, maxWorkers, startMs: 4000, spotPriceFactor: 0.18 },
  zonePrices: new Map(prices.map((price, index) => [`zone-${index}`, price])),
});

const FOUR_ZONES = { startWorkers: 9, bounds: boundsOf([0.85, 1.2, 1, 1.1], 13), reclaims: [] };

const THREE_ZONES = { startWorkers: 12, bounds: boundsOf([0.85, 1.2, 1], 20), reclaims: [] };

/** Loads by name; figures from section 3 of the requirements. */
export const orderScenarios: readonly (readonly [string, OrderScenario])[] = [
  [
    'wave',
    {
      ...FOUR_ZONES,
      trainersAt: () => 3,
      itemsAt: (atMs) => 110 - 70 * Math.cos((atMs / 30_000) * 2 * Math.PI),
    },
  ],
  [
    'step',
    {
      ...THREE_ZONES,
      trainersAt: (atMs) => (atMs < 20_000 ? 2 : 4),
      itemsAt: (atMs) => (atMs < 20_000 ? 60 : 140),
    },
  ],
  [
    'burst',
    {
      ...FOUR_ZONES,
      trainersAt: () => 3,
      itemsAt: (atMs) => (atMs >= 25_000 && atMs < 29_000 ? 200 : 70),
    },
  ],
  [
    'loss of a zone',
    {
      ...FOUR_ZONES,
      trainersAt: () => 3,
      itemsAt: () => 120,
      reclaims: [{ atMs: 25_000, zone: 'zone-0', noticeMs: 2500, everywhere: false }],
    },
  ],
  [
    'loss of two zones, none to be had',
    {
      ...FOUR_ZONES,
      trainersAt: () => 3,
      itemsAt: () => 120,
      reclaims: [
        { atMs: 25_000, zone: 'zone-0', noticeMs: 2000, everywhere: true },
        { atMs: 45_000, zone: 'zone-2', noticeMs: 2000, everywhere: true },
      ],
    },
  ],
  [
    'loss of three zones in a row, none to be had',
    {
      ...FOUR_ZONES,
      trainersAt: () => 3,
      itemsAt: () => 120,
      reclaims: [
        { atMs: 25_000, zone: 'zone-0', noticeMs: 2000, everywhere: true },
        { atMs: 30_000, zone: 'zone-2', noticeMs: 2000, everywhere: true },
        { atMs: 34_000, zone: 'zone-3', noticeMs: 2000, everywhere: true },
      ],
    },
  ],
];

/** The compared variants by name. */
export const orderVariants: readonly (readonly [string, WorkerOrderPlannerOptions])[] = [
  ['fixed number', { needOf: fixedNeed, distribute: unchanged }],
  ['by queue', { needOf: queueNeed, distribute: ordinaryOnly }],
  ['by due work', { needOf: dueWorkNeed, distribute: ordinaryOnly }],
  ['by steady load, ordinary only', { needOf: steadyNeed(), distribute: ordinaryOnly }],
  [
    'spot without reserve, floor and surplus',
    {
      needOf: steadyNeed(),
      distribute: spotWithReserve({ ordinaryShare: 0, surplus: 1, reserve: false }),
    },
  ],
  ['by due work with notice', { needOf: steadyNeed(), distribute: spotWithReserve() }],
];
