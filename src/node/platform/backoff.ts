import type { Random } from '../../shared/random.ts';

/** Delays between attempts at the platform. */
export interface BackoffOptions {
  /** Upper bound of the first delay, in ms. @default 50 */
  readonly baseMs?: number;
  /** Upper bound of every delay, in ms. @default 2000 */
  readonly maxMs?: number;
}

/**
 * Delay before an attempt: doubles from attempt to attempt, drawn evenly from its upper half so that nodes that failed
 * together do not come back together.
 *
 * @param attempt - attempts made so far, from 1
 */
export const backoffMs = (
  attempt: number,
  random: Random,
  { baseMs = 50, maxMs = 2000 }: BackoffOptions = {},
): number => {
  const boundMs = Math.min(maxMs, baseMs * 2 ** Math.min(attempt - 1, 30));
  return boundMs * (0.5 + random() / 2);
};
