import type { Random } from '../../shared/random.ts';

/** Up to this many peers, each period reaches all of them. */
export const MAX_TARGETS = 8;

/**
 * Targets a period in a deployment of more than `MAX_TARGETS` peers. Three calls and about three answers a second keep a
 * node's traffic independent of the deployment's size; news still reaches 410 nodes in about four periods.
 */
export const TARGETS_OF_MANY = 3;

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
  /** Peers that did not answer last time: tried again first, so that one lost message raises no suspicion. */
  readonly doubted: readonly T[];
  /** Suspected peers: one a period is tried, so that a peer cut off by a partition is found again. */
  readonly suspected: readonly T[];
}

/** Chooses the peers that get a heartbeat in this period, at most `MAX_TARGETS`. */
export const gossipTargets = <T>(candidates: GossipCandidates<T>, random: Random): T[] => {
  const { live, doubted, suspected } = candidates;
  const few = live.length + doubted.length <= MAX_TARGETS - 1;
  if (few) return [...live, ...doubted, ...sample(suspected, 1, random)];
  return [
    ...sample(doubted, 2, random),
    ...sample(live, TARGETS_OF_MANY, random),
    ...sample(suspected, 1, random),
  ];
};
