import { createHash } from 'node:crypto';

/** Maximum number of cached weights: enough for several keys with every node of a deployment of the planned size. */
const MAX_CACHED_WEIGHTS = 4096;

const weightCache = new Map<string, string>();

/** Weight of a node for a key. Cached, because the same few weights are needed several times a second. */
const weightOf = (key: string, node: string): string => {
  const cacheKey = `${key}\n${node}`;
  const cached = weightCache.get(cacheKey);
  if (cached !== undefined) return cached;
  const weight = createHash('sha1').update(cacheKey).digest('hex');
  if (weightCache.size >= MAX_CACHED_WEIGHTS) weightCache.clear();
  weightCache.set(cacheKey, weight);
  return weight;
};

/**
 * Returns the node that should own a key, by rendezvous hashing: all nodes have equal weight, and a change of the list
 * moves only the keys of the added or removed node. Undefined for an empty list.
 */
export const preferredNode = (key: string, nodes: readonly string[]): string | undefined => {
  let best: string | undefined;
  let bestWeight = '';
  for (const node of nodes) {
    const weight = weightOf(key, node);
    if (best === undefined || weight > bestWeight) {
      best = node;
      bestWeight = weight;
    }
  }
  return best;
};
