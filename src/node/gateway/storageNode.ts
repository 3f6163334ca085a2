import { type Clock, systemClock } from '../../shared/clock.ts';
import { type Random, systemRandom } from '../../shared/random.ts';
import { createLogger, type Logger } from '../observability/logger.ts';
import { ObjectFollower } from '../platform/objectFollower.ts';
import type { PlatformObject, PlatformObjects } from '../platform/platformClient.ts';
import type { ResolvedSettings } from '../settings/resolveSettings.ts';

/** Long-poll wait of a call for changes, in ms; also bounds how long a dead connection goes unnoticed. */
const LONG_POLL_MS = 5000;

/** Delay before the report that the VM is empty is retried, in ms. */
const REPORT_RETRY_MS = 300;

/** The kind of object by which an operator requests that a storage VM be emptied, and the status that confirms it. */
export interface RetirementKind {
  /** Key prefix: the kind followed by a slash. Objects are named after the VM. */
  readonly prefix: string;
  readonly isDone: (object: PlatformObject) => boolean;
  readonly doneStatus: unknown;
}

export interface StorageDependencies {
  readonly settings: Pick<ResolvedSettings, 'name' | 'log'>;
  readonly platform: (logger: Logger) => PlatformObjects;
  readonly retirements: RetirementKind;
  /** @default the system clock */
  readonly clock?: Clock;
  /** @default the system's random source */
  readonly random?: Random;
}

/**
 * Starts the process of a storage VM, i.e. a VM with a disk. All durable state is kept on the platform, so the VM
 * stores nothing itself and can be reported as empty as soon as the operator requests it.
 */
export const startStorageNode = async (
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
    // No retry after a conflict: the change that caused it triggers the next report.
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
