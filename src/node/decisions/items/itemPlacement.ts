/** An item that is waiting for a worker. */
export interface WaitingItem {
  readonly key: string;
  /** Rank of its batch, or of its group where steps contend; lower ranks go first. */
  readonly batchRank: number;
  /** Expected number of tokens still to be generated. */
  readonly expectedTokens: number;
  /** Identifies the prompt that the items of its group share. */
  readonly prompt: string;
  readonly model: string;
  /** Whether a run with this weight version may start or continue the item's text. */
  readonly allows: (version: number) => boolean;
  /** Worker that the item's previous run was taken from; used again only if no other worker is eligible. */
  readonly avoidedWorker?: string;
  /**
   * Whether workers ended under the item. A `weak` suspect needs room for a trial at its worker; a `strong` one starts only
   * where no other trial is young. @default no worker ended under it
   */
  readonly suspicion?: 'weak' | 'strong' | undefined;
}

/** The state of a worker that placement decisions use. */
export interface PlacementWorker {
  readonly id: string;
  /** Number of additional items that the worker may get. */
  readonly freeSlots: number;
  readonly running: number;
  /** Time per event relative to the pool's median; above 1 for a slower worker. */
  readonly slowdown: number;
  /** Weight version of a model; undefined if the worker does not have the model. */
  readonly versionOf: (model: string) => number | undefined;
  /** Whether the worker has processed the prompt before. */
  readonly hasProcessedPrompt: (prompt: string) => boolean;
  /** Number of suspected items that may start there now. @default any number */
  readonly trialRoom?: number;
  /** Whether a suspected item that started there has not survived yet. @default false */
  readonly hasYoungTrial?: boolean;
}

export interface Placement {
  readonly item: string;
  readonly worker: string;
}

/** Comparator that orders waiting items. */
export type ItemOrder = (left: WaitingItem, right: WaitingItem) => number;

/** Orders by batch rank, then longest item first, because a step ends only when its last item ends. */
export const longestFirst: ItemOrder = (left, right) =>
  left.batchRank - right.batchRank || right.expectedTokens - left.expectedTokens;

/** Whether an item may start at a worker beside the suspected items there. */
export const hasTrialRoom = (
  {
    trialRoom = Infinity,
    hasYoungTrial = false,
  }: Pick<PlacementWorker, 'trialRoom' | 'hasYoungTrial'>,
  suspicion: WaitingItem['suspicion'],
): boolean => {
  if (suspicion === undefined) return true;
  return suspicion === 'strong' ? !hasYoungTrial : trialRoom > 0;
};

/** Fraction by which each run on a worker slows its other runs: a generation step takes about 3% longer per run. */
const SLOWDOWN_PER_RUN = 0.03;

/** Cost of processing a prompt again, in the same unit: about the time of one event in a short run. */
const PROMPT_PREFILL_COST = 0.02;

/**
 * Assigns waiting items to workers with free slots. Each item goes to the worker with the lowest cost: the fastest one,
 * which among equally fast workers is the least busy.
 */
export const placeItems = (
  items: readonly WaitingItem[],
  workers: readonly PlacementWorker[],
  order: ItemOrder = longestFirst,
): Placement[] => {
  const addedRuns = new Map<string, number>();
  const addedPrompts = new Map<string, Set<string>>();
  const trials = new Map(
    workers.map(({ id, trialRoom = Infinity, hasYoungTrial }) => [
      id,
      { trialRoom, hasYoungTrial },
    ]),
  );
  const costOf = (worker: PlacementWorker, item: WaitingItem): number => {
    const runs = worker.running + (addedRuns.get(worker.id) ?? 0);
    const hasPrompt =
      worker.hasProcessedPrompt(item.prompt) ||
      (addedPrompts.get(worker.id)?.has(item.prompt) ?? false);
    return worker.slowdown * (1 + SLOWDOWN_PER_RUN * runs) + (hasPrompt ? 0 : PROMPT_PREFILL_COST);
  };
  const placements: Placement[] = [];
  for (const item of [...items].sort(order)) {
    const eligible = workers.filter((worker) => {
      const version = worker.versionOf(item.model);
      const hasFreeSlot = worker.freeSlots > (addedRuns.get(worker.id) ?? 0);
      const isAllowed = version !== undefined && item.allows(version);
      return hasFreeSlot && isAllowed && hasTrialRoom(trials.get(worker.id) ?? {}, item.suspicion);
    });
    const others = eligible.filter(({ id }) => id !== item.avoidedWorker);
    const chosen = (others.length > 0 ? others : eligible).reduce<PlacementWorker | undefined>(
      (best, worker) =>
        best === undefined || costOf(worker, item) < costOf(best, item) ? worker : best,
      undefined,
    );
    if (chosen !== undefined) {
      if (item.suspicion !== undefined) {
        const { trialRoom = 0 } = trials.get(chosen.id) ?? {};
        const isStrong = item.suspicion === 'strong';
        trials.set(chosen.id, { trialRoom: isStrong ? 0 : trialRoom - 1, hasYoungTrial: true });
      }
      addedRuns.set(chosen.id, (addedRuns.get(chosen.id) ?? 0) + 1);
      const prompts = addedPrompts.get(chosen.id) ?? new Set();
      addedPrompts.set(chosen.id, prompts.add(item.prompt));
      placements.push({ item: item.key, worker: chosen.id });
    }
  }
  return placements;
};
