/** Position of a dispatcher among all that ever dispatch a batch. */
export interface DispatcherRank {
  /** Number of times that the batch was moved to another pool before. */
  readonly moves: number;
  /** Term of the dispatcher in its pool. */
  readonly term: number;
}

/** Whether the first dispatcher supersedes the second. Terms count only within one pool, so moves of the batch go first. */
export const outranks = (one: DispatcherRank, other: DispatcherRank): boolean =>
  one.moves === other.moves ? one.term > other.term : one.moves > other.moves;
