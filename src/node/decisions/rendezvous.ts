import { createHash } from 'node:crypto';

const weightOf = (key: string, node: string): string =>
  createHash('sha1').update(`${key}\n${node}`).digest('hex');

/**
 * The node that should own a key, by rendezvous hashing: each node counts equally, and a change of the list moves only
 * the keys of the node that came or went. Undefined for an empty list.
 */
export const preferredNode = (key: string, nodes: readonly string[]): string | undefined =>
  nodes.reduce<string | undefined>(
    (best, node) => (best === undefined || weightOf(key, node) > weightOf(key, best) ? node : best),
    undefined,
  );
