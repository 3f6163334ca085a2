import type { Clock } from '../../shared/clock.ts';
import type { Random } from '../../shared/random.ts';
import type { Metrics } from '../observability/metrics.ts';
import { BudgetedPlatformClient, type PlatformOperation } from './budgetedPlatformClient.ts';
import type { PlatformObjects } from './platformClient.ts';
import type { PlatformHealth } from './platformHealth.ts';

export interface PlatformDependencies {
  /** Client without a call budget. */
  readonly platform: PlatformObjects;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  /** Records the start, the end and the outcome of calls. */
  readonly health?: PlatformHealth;
}

/** Creates the platform client of a node, with a call budget and metrics. */
export const createPlatformClient = (
  { callsPerSecond }: { readonly callsPerSecond: number },
  { platform, clock, random, metrics, health }: PlatformDependencies,
): PlatformObjects => {
  const client: BudgetedPlatformClient = new BudgetedPlatformClient({
    ...{ platform, clock, random, callsPerSecond, health },
    onCall: (operation: PlatformOperation) => {
      metrics.platformCalls.inc({ operation });
      metrics.platformCallsAvailable.set(client.availableCalls);
    },
    onRefused: (operation) => metrics.platformCallsRefused.inc({ operation }),
  });
  return client;
};
