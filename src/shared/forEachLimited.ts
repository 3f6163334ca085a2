/** Runs `work` for each item, for at most `limit` items concurrently. */
export const forEachLimited = async <T>(
  items: readonly T[],
  limit: number,
  work: (item: T) => Promise<void>,
): Promise<void> => {
  const remaining = items.values();
  const worker = async () => {
    // All workers share the iterator, so each takes the next unprocessed item.
    for (const item of remaining) await work(item);
  };
  await Promise.all(Array.from({ length: Math.min(limit, items.length) }, worker));
};
