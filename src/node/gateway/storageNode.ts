import { type Clock, systemClock } from '../../shared/clock.ts';
import { type Random, systemRandom } from '../../shared/random.ts';
import { createLogger, type Logger } from '../observability/logger.ts';
import { ObjectFollower } from '../platform/objectFollower.ts';
import type { PlatformObject, PlatformObjects } from '../platform/platformClient.ts';
import type { ResolvedSettings } from '../settings/resolveSettings.ts';

/** Wait of a call for changes, in ms; also bounds how long a silent connection goes unnoticed. */
const LONG_POLL_MS = 5000;

/** Time between attempts to report that the VM is empty, in ms. */
const REPORT_RETRY_MS = 300;

/** How an operator asks for a VM with a disk to be emptied, and how it is told that this is done. */
export interface RetirementKind {
  /** Kind with a slash; objects are named for the VM. */
  readonly prefix: string;
  readonly isDone: (object: PlatformObject) => boolean;
  readonly doneStatus: unknown;
}

export interface StorageDependencies {
  readonly settings: Pick<ResolvedSettings, 'name' | 'log'>;
  readonly platform: (logger: Logger) => PlatformObjects;
  readonly retirements: RetirementKind;
  /** @default the system's clock */
  readonly clock?: Clock;
  /** @default the system's random source */
  readonly random?: Random;
}

/**
 * Starts the process of a VM with a disk. All that must last is kept at the platform, so such a VM holds nothing: it is
 * empty as soon as its operator asks for that.
 */
export const startStorage = async (
  dependencies: StorageDependencies,
): Promise<{ readonly logger: Logger }> => {
  const { settings, retirements, clock = systemClock, random = systemRandom } = dependencies;
  const logger = createLogger(settings.log.level, { node: settings.name });
  const platform = dependencies.platform(logger);
  const ownKey = `${retirements.prefix}${settings.name}`;
  const reportDone = async (version: number): Promise<void> => {
    const result = await platform.writeStatus(ownKey, retirements.doneStatus, {
      ifVersion: version,
    });
    logger.info('retirement-reported', { version, outcome: result.status });
    // After a conflict the change that caused it brings the next report.
    if (result.status === 'unknown' || result.status === 'unavailable') {
      clock.schedule(REPORT_RETRY_MS, () => void reportDone(version));
    }
  };
  const follower = new ObjectFollower({
    ...{ platform, clock, random, logger, prefix: retirements.prefix },
    waitMs: () => LONG_POLL_MS,
    onEvent: ({ type, object }) => {
      if (type === 'removed' || object.key !== ownKey || retirements.isDone(object)) return;
      void reportDone(object.version);
    },
  });
  await follower.start();
  logger.info('node-started', { role: 'storage' });
  return { logger };
};
