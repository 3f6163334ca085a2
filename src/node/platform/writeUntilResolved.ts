import { type Clock, sleep, type Stopwatch } from '../../shared/clock.ts';
import type { Random } from '../../shared/random.ts';
import { backoffMs } from './backoff.ts';
import type { PlatformClient, PlatformObject, WriteResult } from './platformClient.ts';

/**
 * Time without a response after which a write is resolved by reading back, in ms. The platform responds within a few
 * ms, and within 200 ms when it is slow. A lost response never arrives and would block the writer until the call times
 * out.
 */
export const READ_BACK_DELAY_MS = 250;

/** What reading an object back shows about a write whose response was lost. */
export type ReadBackResult =
  /** The object is as the write left it. */
  | { readonly status: 'written'; readonly version: number }
  /** Another operation wrote the object last, or the object does not exist. */
  | { readonly status: 'other'; readonly object: PlatformObject | undefined };

/**
 * Reads an object back to find out whether a write took effect.
 *
 * @param operationId - operation id of the write
 * @throws PlatformError when the platform does not respond
 */
export const readBackWrite = async (
  platform: Pick<PlatformClient, 'read'>,
  key: string,
  operationId: string,
): Promise<ReadBackResult> => {
  const object = await platform.read(key);
  return object?.operationId === operationId
    ? { status: 'written', version: object.version }
    : { status: 'other', object };
};

export interface ResolvedWriteOptions {
  readonly platform: Pick<PlatformClient, 'read' | 'write'>;
  readonly clock: Clock;
  readonly random: Random;
  readonly key: string;
  readonly value: unknown;
  readonly ifVersion: number;
  /** Identifies this write; a write of the same object for a different purpose needs a different id. */
  readonly operationId: string;
  /** Measures the time that counts towards the time limit. */
  readonly started: Stopwatch;
  /** Time limit, in ms. */
  readonly limitMs: number;
}

/**
 * The result of a write, or `unknown` when no response arrives within `READ_BACK_DELAY_MS`. The write itself continues
 * and may still take effect.
 */
const withTimeout = async (
  clock: Clock,
  operationId: string,
  write: () => Promise<WriteResult>,
): Promise<WriteResult> => {
  const timeoutAbort = new AbortController();
  const timeout = sleep(clock, READ_BACK_DELAY_MS, timeoutAbort.signal).then((): WriteResult => ({
    status: 'unknown',
    operationId,
  }));
  try {
    return await Promise.race([write(), timeout]);
  } finally {
    timeoutAbort.abort();
  }
};

/**
 * Writes conditionally until the result is certain or the time limit is reached. Repeating the same conditional write
 * is safe: the first copy that arrives takes effect, and the others conflict. `conflict` and `unavailable` are returned
 * only when no attempt took effect at the requested version and none still can, or when one did and another write
 * followed before the object could be read back; the caller must check the object for the latter case.
 */
export const writeUntilResolved = async (options: ResolvedWriteOptions): Promise<WriteResult> => {
  const { platform, clock, random, key, value, ifVersion, operationId, started, limitMs } = options;
  let mayHaveTakenEffect = false;
  for (let attempt = 1; ; attempt += 1) {
    const result = await withTimeout(clock, operationId, () =>
      platform.write(key, value, { ifVersion, operationId }),
    );
    if (result.status === 'written') return result;
    if (result.status === 'unknown') mayHaveTakenEffect = true;
    if (result.status === 'conflict' && !mayHaveTakenEffect) return result;
    if (result.status !== 'unavailable') {
      const readBack = await readBackWrite(platform, key, operationId).catch(() => undefined);
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
