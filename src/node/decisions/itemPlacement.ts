/** An item that waits for a worker. */
export interface WaitingItem {
  readonly key: string;
  /** Rank of its batch; smaller first. */
  readonly batchRank: number;
  /** Expected tokens that are still to be generated. */
  readonly expectedTokens: number;
  /** Name of the prompt that its group shares. */
  readonly prompt: string;
  readonly model: string;
  /** Whether a run on this weight version may begin or continue its text. */
  readonly allows: (version: number) => boolean;
  /** Worker that the item has just left; used again only when there is no other. */
  readonly avoid?: string;
}

/** A worker as the placement sees it. */
export interface PlacementWorker {
  readonly id: string;
  /** Items that it may get besides those it has. */
  readonly freeSlots: number;
  readonly running: number;
  /** Time for an event as a factor of the pool's usual. */
  readonly paceFactor: number;
  /** Weight version of a model; undefined: it does not have the model. */
  readonly versionOf: (model: string) => number | undefined;
  /** Whether it has read the prompt before. */
  readonly holdsPrompt: (prompt: string) => boolean;
}

export interface Placement {
  readonly item: string;
  readonly worker: string;
}

/** Orders the items that wait. */
export type ItemOrder = (left: WaitingItem, right: WaitingItem) => number;

/** Earlier batches first; within a batch the longest first, because the last item to end decides when the step ends. */
export const longestFirst: ItemOrder = (left, right) =>
  left.batchRank - right.batchRank || right.expectedTokens - left.expectedTokens;

/** Slows that one more run on a worker costs the others, as a share: a step takes about 3% longer with each run. */
const RUN_COST = 0.03;

/** What reading a prompt again costs, in the same unit: about one event's time of a short run. */
const PROMPT_COST = 0.02;

/** Gives waiting items to workers with free slots: to the fastest, which is the least busy of those with a usual pace. */
export const placeItems = (
  items: readonly WaitingItem[],
  workers: readonly PlacementWorker[],
  order: ItemOrder = longestFirst,
): Placement[] => {
  const added = new Map<string, number>();
  const addedPrompts = new Map<string, Set<string>>();
  const costOf = (worker: PlacementWorker, item: WaitingItem): number => {
    const runs = worker.running + (added.get(worker.id) ?? 0);
    const holds =
      worker.holdsPrompt(item.prompt) || (addedPrompts.get(worker.id)?.has(item.prompt) ?? false);
    return worker.paceFactor * (1 + RUN_COST * runs) + (holds ? 0 : PROMPT_COST);
  };
  const placements: Placement[] = [];
  for (const item of [...items].sort(order)) {
    const able = workers.filter((worker) => {
      const version = worker.versionOf(item.model);
      const hasRoom = worker.freeSlots > (added.get(worker.id) ?? 0);
      return hasRoom && version !== undefined && item.allows(version);
    });
    const others = able.filter(({ id }) => id !== item.avoid);
    const chosen = (others.length > 0 ? others : able).reduce<PlacementWorker | undefined>(
      (best, worker) =>
        best === undefined || costOf(worker, item) < costOf(best, item) ? worker : best,
      undefined,
    );
    if (chosen !== undefined) {
      added.set(chosen.id, (added.get(chosen.id) ?? 0) + 1);
      const prompts = addedPrompts.get(chosen.id) ?? new Set();
      addedPrompts.set(chosen.id, prompts.add(item.prompt));
      placements.push({ item: item.key, worker: chosen.id });
    }
  }
  return placements;
};
