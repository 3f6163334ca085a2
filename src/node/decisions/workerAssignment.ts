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

const areWorking = (workers: readonly AssignableWorker[]): AssignableWorker[] =>
  workers.filter(({ capacity }) => capacity > 0);

/**
 * Whether the models must share workers, because there are fewer that work than models. Each worker then loads the versions of all
 * models, so that no model is left without.
 */
export const mustShareWorkers = (
  models: readonly string[],
  workers: readonly AssignableWorker[],
): boolean => areWorking(workers).length < models.length;

/** Capacity that a model lacks of its fair share; negative if it has more than that. */
interface ModelDeficit {
  readonly model: string;
  readonly deficit: number;
}

/**
 * Capacity that each model should have: in proportion to its work, but no less than one worker of mean capacity while there
 * are enough workers, because a model without a worker has nobody to load its new versions.
 */
const fairCapacities = (
  models: readonly string[],
  workers: readonly AssignableWorker[],
  weightOf: (model: string) => number,
): ReadonlyMap<string, number> => {
  const working = areWorking(workers);
  const totalCapacity = working.reduce((sum, { capacity }) => sum + capacity, 0);
  const meanCapacity = totalCapacity / Math.max(1, working.length);
  const fair = new Map<string, number>();
  const hasEnough = !mustShareWorkers(models, workers);
  // The lightest model first: what it gets beyond its share is taken from the heavier ones.
  const byWeight = [...models].sort((left, right) => weightOf(left) - weightOf(right));
  let restCapacity = totalCapacity;
  let restWeight = models.reduce((sum, model) => sum + weightOf(model), 0);
  for (const model of byWeight) {
    const share = (restCapacity * weightOf(model)) / restWeight;
    const capacity = hasEnough ? Math.max(meanCapacity, share) : share;
    fair.set(model, capacity);
    restCapacity -= capacity;
    restWeight -= weightOf(model);
  }
  return fair;
};

/** Deficits of all models, the largest first. */
const deficits = (
  models: readonly string[],
  workers: readonly AssignableWorker[],
  assigned: ReadonlyMap<string, string>,
  fair: ReadonlyMap<string, number>,
): ModelDeficit[] => {
  const assignedCapacity = (model: string) =>
    workers
      .filter(({ id }) => assigned.get(id) === model)
      .reduce((sum, { capacity }) => sum + capacity, 0);
  return models
    .map((model) => ({ model, deficit: (fair.get(model) ?? 0) - assignedCapacity(model) }))
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
  const fair = fairCapacities(models, workers, weightOf);
  for (const { id } of workers) {
    const model = previous.get(id);
    if (model !== undefined && models.includes(model)) assigned.set(id, model);
  }
  for (const { id } of workers) {
    const [mostUnderserved] = deficits(models, workers, assigned, fair);
    if (!assigned.has(id) && mostUnderserved !== undefined) assigned.set(id, mostUnderserved.model);
  }
  for (let reassignments = 0; reassignments < workers.length; reassignments += 1) {
    const sorted = deficits(models, workers, assigned, fair);
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
