import type { Clock } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import { repeatEvery } from '../../shared/repeat.ts';
import { NODES_PREFIX } from '../membership/registration.ts';
import type { Logger } from '../observability/logger.ts';
import type { PlatformClient } from '../platform/platformClient.ts';
import type { PlatformHealth } from '../platform/platformHealth.ts';

/** Interval between checks that the platform responds to this node, in ms; a stale read costs a tenth of a call. */
const PLATFORM_PROBE_INTERVAL_MS = 1000;

/** The same interval at a node that callers are not sent to, in ms; hundreds of them would call all the time. */
const RESERVE_PROBE_INTERVAL_MS = 5000;

export interface PlatformProbeOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly platform: Pick<PlatformClient, 'read'>;
  readonly health: Pick<PlatformHealth, 'lost'>;
  readonly nodeName: string;
  /** Whether callers are sent to this node. */
  readonly isPreferred: () => boolean;
}

/**
 * Checks regularly that the platform responds. A node that follows the platform through relays calls it too rarely to
 * notice an outage or its end.
 */
export const startPlatformProbe = (options: PlatformProbeOptions): Disposable => {
  const { clock, logger, platform, health, nodeName, isPreferred } = options;
  const probe = async () => {
    const wasLost = health.lost;
    try {
      await platform.read(`${NODES_PREFIX}${nodeName}`, { allowStale: true });
      if (wasLost) logger.info('platform-answers-again');
    } catch (error) {
      logger.debug('platform-probe-failed', { message: messageOf(error) });
    }
  };
  const intervalMs = () => (isPreferred() ? PLATFORM_PROBE_INTERVAL_MS : RESERVE_PROBE_INTERVAL_MS);
  return repeatEvery(clock, intervalMs, probe);
};
