/** Input for the delay before a new holder of a duty may make its first call. */
export interface FirstCallConditions {
  /** Whether the control API rejects calls with the fencing token of an earlier holder. */
  readonly fenced: boolean;
  /** The previous holder; undefined when there was none. */
  readonly former: { readonly released?: boolean } | undefined;
  /** Time within which two holders may not act in turns, in ms. */
  readonly leaseMs: number;
  /** Maximum time from a holder's proof that it holds the duty to the sending of the call that follows, in ms. */
  readonly verificationMs: number;
  /** Maximum time from the sending of a call to its arrival at a reachable control API, in ms. */
  readonly arrivalMs: number;
  /** Maximum time from the sending of a call to its execution, in ms. */
  readonly transitMs: number;
}

/**
 * Returns how long a new holder waits before its first call, in ms. Without fencing, a call of the previous holder that
 * is executed late would follow a call with a higher token. With fencing it is rejected then, and the new holder only
 * waits until the previous one cannot send any more. A holder that released the duty had no call left.
 */
export const firstCallDelayMs = (conditions: FirstCallConditions): number => {
  const { fenced, former, leaseMs, verificationMs, arrivalMs, transitMs } = conditions;
  if (former === undefined || former.released === true) return 0;
  return verificationMs + (fenced ? arrivalMs : leaseMs + transitMs);
};
