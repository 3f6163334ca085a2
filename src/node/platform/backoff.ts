import type { Random } from '../../shared/random.ts';

/** Bounds of the delay between attempts of a platform call. */
export interface BackoffOptions {
  /** Upper bound of the first delay, in ms. @default 50 */
  readonly baseMs?: number;
  /** Upper bound of every delay, in ms. @default 2000 */
  readonly maxMs?: number;
}

/**
 * Delay in ms before the next attempt: exponential backoff with jitter. The upper bound doubles with every attempt, and
 * the delay is drawn uniformly from its upper half, so that nodes that failed together do not retry together.
 *
 * @param attempt - number of attempts made so far, at least 1
 */
export const backoffMs = (
  attempt: number,
  random: Random,
  { baseMs = 50, maxMs = 2000 }: BackoffOptions = {},
): number => {
  const maxDelayMs = Math.min(maxMs, baseMs * 2 ** Math.min(attempt - 1, 30));
  return maxDelayMs * (0.5 + random() / 2);
};
