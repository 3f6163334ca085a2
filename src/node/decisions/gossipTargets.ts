import type { Random } from '../../shared/random.ts';

/** Maximum number of heartbeats that a node sends per period. */
export const MAX_GOSSIP_TARGETS = 8;

/**
 * Number of random targets per period in addition to the successor. A call and its response cost 440 bytes of HTTP
 * headers and about 1 ms of CPU time on each node, so two calls per second leave room for their content within 2 KB/s
 * and 1.1% of a core.
 */
export const RANDOM_GOSSIP_TARGETS = 1;

/** Draws up to `count` distinct items at random. */
const sampleWithoutReplacement = <T>(items: readonly T[], count: number, random: Random): T[] => {
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
  /** Peers that are neither doubted nor suspected. */
  readonly live: readonly T[];
  /**
   * The next live or doubted peer in a ring order common to all nodes. Each node thus gets a heartbeat from its
   * predecessor in every period, and a failure is noticed within one period. With random targets alone, one failure in
   * seven would be noticed later.
   */
  readonly successor: T | undefined;
  /** Peers with an unanswered heartbeat, retried first so that one lost message does not cause a suspicion. */
  readonly doubted: readonly T[];
  /** Suspected peers. One is tried per period, so that a peer is found again after a network partition. */
  readonly suspected: readonly T[];
  /** Whether there are changes that every node must learn soon. */
  readonly broadcast: boolean;
}

/**
 * Chooses the peers to send a heartbeat to in this period, at most `MAX_GOSSIP_TARGETS`. While a peer is
 * doubted, all `MAX_GOSSIP_TARGETS` are used, so that the doubt and its refutation reach every node before the peer is
 * suspected; the same holds while there are changes to broadcast.
 */
export const gossipTargets = <T>(candidates: GossipCandidates<T>, random: Random): T[] => {
  const { live, successor, doubted, suspected, broadcast } = candidates;
  const chosen = new Set<T>(successor === undefined ? [] : [successor]);
  for (const target of sampleWithoutReplacement(doubted, 2, random)) chosen.add(target);
  for (const target of sampleWithoutReplacement(suspected, 1, random)) chosen.add(target);
  const room = MAX_GOSSIP_TARGETS - chosen.size;
  const count = doubted.length > 0 || broadcast ? room : RANDOM_GOSSIP_TARGETS;
  const rest = live.filter((peer) => !chosen.has(peer));
  for (const peer of sampleWithoutReplacement(rest, count, random)) chosen.add(peer);
  return [...chosen];
};
