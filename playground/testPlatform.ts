import { ObjectsClient } from '../platform/objectsClient.ts';
import type { Logger } from '../src/node/observability/logger.ts';
import { systemClock } from '../src/shared/clock.ts';
import { systemRandom } from '../src/shared/random.ts';

/** Time for one call to the stand-in, in ms. */
const TIMEOUT_MS = 2000;

/** Connects a node in this process to the stand-in of the platform's object API. */
export const testPlatform = (url: string) => (logger: Logger) =>
  new ObjectsClient({
    url,
    timeoutMs: TIMEOUT_MS,
    maxValueBytes: 1_000_000,
    clock: systemClock,
    random: systemRandom,
    logger,
  });
