/** An open batch as its dispatcher knows it. */
export interface OpenBatch {
  readonly id: string;
  /** Stored size of its items, in bytes. */
  readonly bytes: number;
  /** Time since its trainer last read it, as far as the dispatcher knows, in ms. */
  readonly unreadMs: number;
  /** Time for which the dispatcher has known it, in ms. */
  readonly knownMs: number;
  /** Whether all its items have results. */
  readonly complete: boolean;
  /** Time after the submission for which its items may run, in ms. */
  readonly itemTtlMs: number;
}

export interface AbandonmentLimits {
  /** Time without a read from which a batch is abandoned, in ms. */
  readonly maxUnreadMs: number;
  /** Largest size of all batches that have not been read for `minUnreadMs`, in bytes. */
  readonly maxUnreadBytes: number;
  /** Shortest time without a read from which the size of a batch counts, in ms. */
  readonly minUnreadMs: number;
}

/** Why a batch is abandoned: nobody reads it, or nobody reads it and all such batches are too large. */
export type AbandonReason = 'unread' | 'bytes';

/**
 * The batches whose trainers do not come back, longest unread first. Answers the load of trainers that crash and leave their
 * batches behind. A batch whose items may still run is never among them.
 */
export const abandonedBatches = (
  batches: readonly OpenBatch[],
  { maxUnreadMs, maxUnreadBytes, minUnreadMs }: AbandonmentLimits,
): ReadonlyMap<string, AbandonReason> => {
  const unread = batches
    .filter(({ complete, knownMs, itemTtlMs }) => complete || knownMs >= itemTtlMs)
    .filter(({ unreadMs }) => unreadMs >= Math.min(minUnreadMs, maxUnreadMs))
    .sort((left, right) => right.unreadMs - left.unreadMs);
  let totalBytes = unread.reduce((sum, { bytes }) => sum + bytes, 0);
  const abandoned = new Map<string, AbandonReason>();
  for (const { id, bytes, unreadMs } of unread) {
    if (unreadMs >= maxUnreadMs) abandoned.set(id, 'unread');
    else if (totalBytes > maxUnreadBytes) abandoned.set(id, 'bytes');
    else break;
    totalBytes -= bytes;
  }
  return abandoned;
};
