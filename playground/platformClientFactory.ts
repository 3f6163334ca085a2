import { ObjectsClient } from '../platform/objectsClient.ts';
import type { Logger } from '../src/node/observability/logger.ts';
import { systemClock } from '../src/shared/clock.ts';
import { systemRandom } from '../src/shared/random.ts';

/** Timeout of one call to the stand-in, in ms. */
const TIMEOUT_MS = 2000;

/** Returns a factory of clients that connect a node in this process to the stand-in for the platform's object API. */
export const platformClientFactory = (url: string) => (logger: Logger) =>
  new ObjectsClient({
    url,
    timeoutMs: TIMEOUT_MS,
    maxValueBytes: 1_000_000,
    clock: systemClock,
    random: systemRandom,
    logger,
  });
