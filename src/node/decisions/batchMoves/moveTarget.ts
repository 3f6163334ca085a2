/** What decides whether a batch is moved. */
export interface MoveConditions {
  /** Pool in which the batch is. */
  readonly pool: string;
  /** Pool that the batch's route leads to now; undefined if there is no such route any more. */
  readonly routedPool: string | undefined;
  /** Number of workers of a pool that may receive new work. */
  readonly usableWorkers: (pool: string) => number;
}

/**
 * The pool to which a batch is moved; undefined if it stays. Answers the load of a pool that is emptied after its route has
 * moved: a batch stays with its workers as long as it has any, since their texts and caches are there, and follows its route
 * once the last one is gone or leaving, if that leads to workers.
 */
export const moveTargetOf = ({
  pool,
  routedPool,
  usableWorkers,
}: MoveConditions): string | undefined => {
  if (routedPool === undefined || routedPool === pool) return undefined;
  return usableWorkers(pool) === 0 && usableWorkers(routedPool) > 0 ? routedPool : undefined;
};
