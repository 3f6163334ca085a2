/** Input for the delay before a new holder of a pool may send its first load order. */
export interface FirstOrderConditions {
  /** Whether workers reject orders with the fencing token of an earlier holder. */
  readonly fenced: boolean;
  /** Name of the previous holder of the pool; undefined when there was none. */
  readonly previousHolder: string | undefined;
  readonly newHolder: string;
  /** Time within which no two nodes may send orders to the same worker, in ms. */
  readonly leaseMs: number;
  /** Maximum time from a node's check that it still is the holder to the arrival of the order that follows, in ms. */
  readonly latestOrderMs: number;
}

/**
 * Returns how long a new holder waits before its first order, in ms. Workers without fencing accept orders from any
 * node, and the previous holder's last order may arrive up to `latestOrderMs` after it was replaced.
 */
export const firstOrderDelayMs = (conditions: FirstOrderConditions): number => {
  const { fenced, previousHolder, newHolder, leaseMs, latestOrderMs } = conditions;
  return fenced || previousHolder === undefined || previousHolder === newHolder
    ? 0
    : leaseMs + latestOrderMs;
};
