import type { Random } from '../../shared/random.ts';

/** Most heartbeats that a node sends in a period. */
export const MAX_TARGETS = 8;

/**
 * Random targets a period beside the successor. A call and its answer cost 440 bytes of HTTP headers and about 1 ms of
 * CPU time at each node; two calls a second leave room for their content within 2 KB/s and 1.1% of a core.
 */
export const RANDOM_TARGETS = 1;

/** `count` items drawn without repetition. */
const sample = <T>(items: readonly T[], count: number, random: Random): T[] => {
  const pool = [...items];
  const drawn: T[] = [];
  while (drawn.length < count && pool.length > 0) {
    const index = Math.floor(random() * pool.length);
    const last = pool.length - 1;
    drawn.push(pool[index] as T);
    pool[index] = pool[last] as T;
    pool.pop();
  }
  return drawn;
};

export interface GossipCandidates<T> {
  /** Peers in good standing. */
  readonly live: readonly T[];
  /**
   * The next live or doubted peer in an order that all nodes share. Each node has one that meets it every period, so a
   * failure is noticed within a period; by random targets alone one in seven would be noticed later.
   */
  readonly successor: T | undefined;
  /** Peers that did not answer last time: tried again first, so that one lost message raises no suspicion. */
  readonly doubted: readonly T[];
  /** Suspected peers: one a period is tried, so that a peer cut off by a partition is found again. */
  readonly suspected: readonly T[];
}

/**
 * Chooses the peers that get a heartbeat in this period, at most `MAX_TARGETS`. While a peer is doubted the period
 * reaches as many as allowed, so that the doubt and its refutation arrive everywhere before the peer is suspected.
 */
export const gossipTargets = <T>(candidates: GossipCandidates<T>, random: Random): T[] => {
  const { live, successor, doubted, suspected } = candidates;
  const chosen = new Set<T>(successor === undefined ? [] : [successor]);
  for (const target of sample(doubted, 2, random)) chosen.add(target);
  for (const target of sample(suspected, 1, random)) chosen.add(target);
  const room = MAX_TARGETS - chosen.size;
  const count = doubted.length > 0 ? room : RANDOM_TARGETS;
  const rest = live.filter((peer) => !chosen.has(peer));
  for (const peer of sample(rest, count, random)) chosen.add(peer);
  return [...chosen];
};
