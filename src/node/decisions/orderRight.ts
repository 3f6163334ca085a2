/** What decides when a new holder may give its first order. */
export interface OrderRight {
  /** Whether workers refuse orders of an earlier holder. */
  readonly fenced: boolean;
  /** Name of the node that held the pool before; undefined: none did. */
  readonly formerNode: string | undefined;
  readonly ownNode: string;
  /** Within this time no two nodes may give orders to one worker, in ms. */
  readonly leaseMs: number;
  /** Longest time between a holder's check of its hold and the arrival of an order that follows it, in ms. */
  readonly latestOrderMs: number;
}

/**
 * How long a new holder waits before its first order, in ms. Where workers take orders from anyone, the former holder's
 * last order may arrive as late as `latestOrderMs` after it was replaced.
 */
export const firstOrderDelayMs = (right: OrderRight): number => {
  const { fenced, formerNode, ownNode, leaseMs, latestOrderMs } = right;
  return fenced || formerNode === undefined || formerNode === ownNode ? 0 : leaseMs + latestOrderMs;
};
