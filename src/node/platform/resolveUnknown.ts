import { type Clock, sleep, type Stopwatch } from '../../shared/clock.ts';
import type { Random } from '../../shared/random.ts';
import { backoffMs } from './backoff.ts';
import type { PlatformClient, PlatformObject, WriteResult } from './platformClient.ts';

/**
 * Time without an answer after which a write is read back, in ms. The platform answers within a few ms, and within 200
 * when it is slow; a lost answer never comes, and its connection would hold the writer for the whole time of a call.
 */
export const LATE_ANSWER_MS = 250;

/** What an object shows about a write whose answer was lost. */
export type ReadBack =
  /** The object is as the write left it. */
  | { readonly status: 'written'; readonly version: number }
  /** The object was last written by another operation, or does not exist. */
  | { readonly status: 'other'; readonly object: PlatformObject | undefined };

/**
 * Reads an object back to find out whether a write took effect.
 *
 * @param operationId - id that the write carried
 * @throws PlatformError when the platform does not answer
 */
export const resolveUnknown = async (
  platform: PlatformClient,
  key: string,
  operationId: string,
): Promise<ReadBack> => {
  const object = await platform.read(key);
  return object?.operationId === operationId
    ? { status: 'written', version: object.version }
    : { status: 'other', object };
};

export interface ResolvedWriteOptions {
  readonly platform: PlatformClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly key: string;
  readonly value: unknown;
  readonly ifVersion: number;
  /** Identifies this write; a write of the same object for another purpose needs another id. */
  readonly operationId: string;
  /** Runs since the time limit began. */
  readonly started: Stopwatch;
  /** Time limit, in ms. */
  readonly limitMs: number;
}

/** The result of a write; unknown when it takes unusually long. The write itself goes on and may still take effect. */
const inTime = async (
  clock: Clock,
  operationId: string,
  write: () => Promise<WriteResult>,
): Promise<WriteResult> => {
  const timeUp = new AbortController();
  const late = sleep(clock, LATE_ANSWER_MS, timeUp.signal).then((): WriteResult => ({
    status: 'unknown',
    operationId,
  }));
  try {
    return await Promise.race([write(), late]);
  } finally {
    timeUp.abort();
  }
};

/**
 * Writes conditionally until the result is certain or the time limit is reached. Repeating the same conditional write
 * is safe: whichever copy arrives first takes effect and the others conflict. `conflict` and `unavailable` are only
 * returned when no attempt took effect at the version asked for and none still can, or when it did and another write
 * followed before the object could be read back: the caller looks into the object for that.
 */
export const writeResolved = async (options: ResolvedWriteOptions): Promise<WriteResult> => {
  const { platform, clock, random, key, value, ifVersion, operationId, started, limitMs } = options;
  let mayHaveTakenEffect = false;
  for (let attempt = 1; ; attempt += 1) {
    const result = await inTime(clock, operationId, () =>
      platform.write(key, value, { ifVersion, operationId }),
    );
    if (result.status === 'written') return result;
    if (result.status === 'unknown') mayHaveTakenEffect = true;
    if (result.status === 'conflict' && !mayHaveTakenEffect) return result;
    if (result.status !== 'unavailable') {
      const readBack = await resolveUnknown(platform, key, operationId).catch(() => undefined);
      if (readBack?.status === 'written') return readBack;
      const version = readBack?.object?.version ?? 0;
      if (readBack !== undefined && version !== ifVersion) return { status: 'conflict', version };
    }
    if (started.elapsedMs() >= limitMs) {
      if (mayHaveTakenEffect) return { status: 'unknown', operationId };
      return result.status === 'unavailable' ? result : { status: 'unknown', operationId };
    }
    await sleep(clock, backoffMs(attempt, random));
  }
};
