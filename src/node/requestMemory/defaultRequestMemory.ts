import type { Clock } from '../../shared/clock.ts';
import type { Logger } from '../observability/logger.ts';
import { createMetrics } from '../observability/metrics.ts';
import { resolveRequestMemory } from '../settings/resolveSettings.ts';
import { RequestMemory } from './requestMemory.ts';

/** Creates the limits of a node of 512 MB with all defaults, for servers that are started by themselves. */
export const createDefaultRequestMemory = (clock: Clock, logger: Logger): RequestMemory =>
  new RequestMemory({
    ...{ clock, logger, metrics: createMetrics() },
    gateway: { memoryMb: 512, fileDescriptors: 4096, requestMemory: resolveRequestMemory() },
    requestLimits: () => undefined,
  });
