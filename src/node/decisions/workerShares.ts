/** A worker that serves several models, each under its own weight version. */
export interface SharedWorker {
  readonly id: string;
  /** What the worker is worth beside one with the usual pace: 1, less when it is slow, 0 when it does not answer. */
  readonly capacity: number;
  /** Runs of each model. */
  readonly runningOf: (model: string) => number;
}

/** Difference of capacity between two models from which a worker changes sides: just over one worker. */
const MAX_IMBALANCE = 1.05;

/** What a model's share of the capacity lacks; negative when the model has more than its share. */
interface ModelDeficit {
  readonly model: string;
  readonly deficit: number;
}

/** The models by what they lack, the most first. */
const deficits = (
  models: readonly string[],
  workers: readonly SharedWorker[],
  shares: ReadonlyMap<string, string>,
  weightOf: (model: string) => number,
): ModelDeficit[] => {
  const totalCapacity = workers.reduce((sum, { capacity }) => sum + capacity, 0);
  const totalWeight = models.reduce((sum, model) => sum + weightOf(model), 0);
  const held = (model: string) =>
    workers
      .filter(({ id }) => shares.get(id) === model)
      .reduce((sum, { capacity }) => sum + capacity, 0);
  return models
    .map((model) => ({
      model,
      deficit: (totalCapacity * weightOf(model)) / totalWeight - held(model),
    }))
    .sort((left, right) => right.deficit - left.deficit);
};

/**
 * Shares a pool's workers among the models that are trained, by their work. A worker keeps the newest weights of its own model
 * only, so that a new version needs a share of the pool's loads. Workers stay where they are unless the shares have
 * become uneven, because a change costs a load.
 *
 * @param before - shares so far
 * @param weightOf - work of a model beside the others, above 0
 * @returns the model of each worker
 */
export const shareWorkers = (
  models: readonly string[],
  workers: readonly SharedWorker[],
  before: ReadonlyMap<string, string>,
  weightOf: (model: string) => number = () => 1,
): Map<string, string> => {
  const shares = new Map<string, string>();
  if (models.length === 0) return shares;
  for (const { id } of workers) {
    const model = before.get(id);
    if (model !== undefined && models.includes(model)) shares.set(id, model);
  }
  for (const { id } of workers) {
    const [poorest] = deficits(models, workers, shares, weightOf);
    if (!shares.has(id) && poorest !== undefined) shares.set(id, poorest.model);
  }
  for (let moves = 0; moves < workers.length; moves += 1) {
    const sorted = deficits(models, workers, shares, weightOf);
    const [poorest] = sorted;
    const richest = sorted.at(-1);
    if (poorest === undefined || richest === undefined) break;
    const gap = poorest.deficit - richest.deficit;
    if (gap <= MAX_IMBALANCE) break;
    const [moved] = workers
      .filter(
        ({ id, capacity }) => shares.get(id) === richest.model && capacity > 0 && capacity < gap,
      )
      .sort((left, right) => left.runningOf(richest.model) - right.runningOf(richest.model));
    if (moved === undefined) break;
    shares.set(moved.id, poorest.model);
  }
  return shares;
};
