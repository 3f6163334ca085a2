import type { Clock } from '../../shared/clock.ts';
import type { Random } from '../../shared/random.ts';
import type { Metrics } from '../observability/metrics.ts';
import type { ResolvedSettings } from '../settings/resolveSettings.ts';
import { BudgetedPlatformClient, type PlatformOperation } from './budgetedPlatformClient.ts';
import { HttpPlatformClient } from './httpPlatformClient.ts';
import type { PlatformClient } from './platformClient.ts';

export interface PlatformDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
}

/** Makes the client of a node: over HTTP, within the call budget, counted. */
export const createPlatformClient = (
  { url, timeoutMs, callsPerSecond }: ResolvedSettings['platform'],
  { clock, random, metrics }: PlatformDependencies,
): PlatformClient => {
  const count = (operation: PlatformOperation) => metrics.platformCalls.inc({ operation });
  const client = new BudgetedPlatformClient({
    platform: new HttpPlatformClient({
      url,
      timeoutMs,
      clock,
      random,
      onWatchReopened: () => count('watch'),
    }),
    clock,
    random,
    callsPerSecond,
    onCall: (operation) => {
      count(operation);
      metrics.platformCallsAvailable.set(client.availableCalls);
    },
    onRefused: (operation) => metrics.platformCallsRefused.inc({ operation }),
  });
  return client;
};
