/** A worker that can serve several models, each under its own weight version. */
export interface AssignableWorker {
  readonly id: string;
  /** Capacity relative to a worker of usual speed: 1, less if it is slow, 0 if it does not respond. */
  readonly capacity: number;
  /** Number of runs of a model in progress on this worker. */
  readonly runningOf: (model: string) => number;
}

/** Difference between two models' deficits above which a worker is reassigned: slightly more than one worker. */
const MAX_IMBALANCE = 1.05;

/** Capacity that a model lacks of its fair share; negative if it has more than that. */
interface ModelDeficit {
  readonly model: string;
  readonly deficit: number;
}

/** Deficits of all models, the largest first. */
const deficits = (
  models: readonly string[],
  workers: readonly AssignableWorker[],
  assigned: ReadonlyMap<string, string>,
  weightOf: (model: string) => number,
): ModelDeficit[] => {
  const totalCapacity = workers.reduce((sum, { capacity }) => sum + capacity, 0);
  const totalWeight = models.reduce((sum, model) => sum + weightOf(model), 0);
  const assignedCapacity = (model: string) =>
    workers
      .filter(({ id }) => assigned.get(id) === model)
      .reduce((sum, { capacity }) => sum + capacity, 0);
  return models
    .map((model) => ({
      model,
      deficit: (totalCapacity * weightOf(model)) / totalWeight - assignedCapacity(model),
    }))
    .sort((left, right) => right.deficit - left.deficit);
};

/**
 * Assigns a pool's workers to the models in training, in proportion to their work. A worker keeps the newest weights
 * only of its own model, so that a new version is loaded by only a part of the pool. Workers keep their assignment
 * unless the shares have become uneven, because a reassignment costs a load.
 *
 * @param previous - previous assignment, from worker id to model
 * @param weightOf - work of a model relative to the others, above 0
 * @returns the assignment, from worker id to model
 */
export const assignWorkersToModels = (
  models: readonly string[],
  workers: readonly AssignableWorker[],
  previous: ReadonlyMap<string, string>,
  weightOf: (model: string) => number = () => 1,
): Map<string, string> => {
  const assigned = new Map<string, string>();
  if (models.length === 0) return assigned;
  for (const { id } of workers) {
    const model = previous.get(id);
    if (model !== undefined && models.includes(model)) assigned.set(id, model);
  }
  for (const { id } of workers) {
    const [mostUnderserved] = deficits(models, workers, assigned, weightOf);
    if (!assigned.has(id) && mostUnderserved !== undefined) assigned.set(id, mostUnderserved.model);
  }
  for (let reassignments = 0; reassignments < workers.length; reassignments += 1) {
    const sorted = deficits(models, workers, assigned, weightOf);
    const [mostUnderserved] = sorted;
    const leastUnderserved = sorted.at(-1);
    if (mostUnderserved === undefined || leastUnderserved === undefined) break;
    const gap = mostUnderserved.deficit - leastUnderserved.deficit;
    if (gap <= MAX_IMBALANCE) break;
    const [reassigned] = workers
      .filter(
        ({ id, capacity }) =>
          assigned.get(id) === leastUnderserved.model && capacity > 0 && capacity < gap,
      )
      .sort(
        (left, right) =>
          left.runningOf(leastUnderserved.model) - right.runningOf(leastUnderserved.model),
      );
    if (reassigned === undefined) break;
    assigned.set(reassigned.id, mostUnderserved.model);
  }
  return assigned;
};
