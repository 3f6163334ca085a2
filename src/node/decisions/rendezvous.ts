import { createHash } from 'node:crypto';

/** Weights that are remembered: those of every node of the design size for several keys. */
const MAX_REMEMBERED = 4096;

const remembered = new Map<string, string>();

/** Weight of a node for a key. The same few are asked for several times a second, so they are remembered. */
const weightOf = (key: string, node: string): string => {
  const text = `${key}\n${node}`;
  const known = remembered.get(text);
  if (known !== undefined) return known;
  const weight = createHash('sha1').update(text).digest('hex');
  if (remembered.size >= MAX_REMEMBERED) remembered.clear();
  remembered.set(text, weight);
  return weight;
};

/**
 * The node that should own a key, by rendezvous hashing: each node counts equally, and a change of the list moves only
 * the keys of the node that came or went. Undefined for an empty list.
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
