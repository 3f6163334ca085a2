/** State of a group of items whose values count only together. */
export interface GroupState {
  /** Unique among all steps. */
  readonly key: string;
  /** Expected work left in all its unfinished items, in slot-ms. */
  readonly workMs: number;
  /** Expected time until its longest unfinished item ends if all start now, in ms. */
  readonly longestMs: number;
  readonly waitingItems: number;
  /** Number of items that run or have ended. */
  readonly startedItems: number;
}

/** State of a training step, which is one batch. */
export interface StepState {
  readonly batch: string;
  /** Rank by submission time and priority; lower ranks go first. */
  readonly rank: number;
  /** Time by which a step of the most urgent priority goes before it, in ms. @default 0 */
  readonly delayMs?: number;
  /** Time until its results are due, in ms; negative once it has passed. */
  readonly dueInMs: number;
  /** Number of groups that the trainer still waits for. Not positive once it has as many as it wants. */
  readonly missingGroups: number;
  /** Groups with unfinished items. */
  readonly groups: readonly GroupState[];
  /** Number of its items that run. */
  readonly runningItems: number;
}

/**
 * Decides which groups may start items, and in which order.
 *
 * @returns the rank of each group whose waiting items may start; lower ranks go first
 */
export type StepOrder = (
  steps: readonly StepState[],
  totalSlots: number,
) => ReadonlyMap<string, number>;

/** Results count in full until this time after they are due, in ms. */
export const READ_SLACK_MS = 700;

/** Time from the submission of a step until its results are due, in ms, against which its urgency is measured. */
const USUAL_DUE_MS = 7500;

/** Least share of a step's work that counts, so that a step that is nearly due does not go before every other. */
const MIN_URGENCY_FACTOR = 0.1;

/**
 * Share of the slots above which steps contend for them: work that needs less by any due time is complete in time in any
 * order. Hints leave out about a third of the work, and a step gets its slots only as others end.
 */
const CONTENTION_SHARE = 0.3;

export const sumOf = <T>(items: readonly T[], valueOf: (item: T) => number): number =>
  items.reduce((sum, item) => sum + valueOf(item), 0);

export const rankInOrder = (groups: readonly GroupState[]): Map<string, number> =>
  new Map(groups.map(({ key }, rank) => [key, rank]));

export const byWork = (left: GroupState, right: GroupState): number => left.workMs - right.workMs;

/** The order without contention: one step after the other, all groups of a step alike. */
export const bySubmission: StepOrder = (steps) =>
  new Map(steps.flatMap(({ rank, groups }) => groups.map(({ key }) => [key, rank])));

/** The groups that a step still needs, those with the least work left, and the others. */
export const splitNeeded = ({ groups, missingGroups }: StepState) => {
  const sorted = [...groups].sort(byWork);
  const count = Math.max(0, missingGroups);
  return { needed: sorted.slice(0, count), spare: sorted.slice(count) };
};

/** Work of the groups that a step still needs, in slot-ms. */
export const neededWork = (step: StepState): number =>
  sumOf(splitNeeded(step).needed, ({ workMs }) => workMs);

/**
 * Orders steps by a key, the lowest first, and within each step the groups with the least work left. Groups beyond the
 * needed ones go last.
 */
export const neededFirst =
  (keyOf: (step: StepState, totalSlots: number) => number): StepOrder =>
  (steps, totalSlots) => {
    const split = steps
      .map((step) => ({ ...splitNeeded(step), key: keyOf(step, totalSlots) }))
      .sort((left, right) => left.key - right.key);
    return rankInOrder([
      ...split.flatMap(({ needed }) => needed),
      ...split.flatMap(({ spare }) => spare),
    ]);
  };

/**
 * The step with the least work left first, where work counts less the sooner it is due; steps that cannot be complete in
 * time any more go last. Their groups start only in slots that no other step needs.
 *
 * Addresses steps of several trainers that need up to three times the slots there are: a partly completed group yields
 * nothing, so that slots shared by all steps complete few of them.
 */
export const byUrgency: StepOrder = neededFirst((step, totalSlots) => {
  const workMs = neededWork(step);
  const isHopeless = workMs / totalSlots > Math.max(0, step.dueInMs + READ_SLACK_MS);
  const urgency = Math.max(MIN_URGENCY_FACTOR, Math.min(1, step.dueInMs / USUAL_DUE_MS));
  const delay = (step.delayMs ?? 0) / USUAL_DUE_MS;
  // Finite, so that steps of this kind stay ordered among each other.
  const hopelessMs = isHopeless ? Number.MAX_SAFE_INTEGER / 2 : 0;
  return hopelessMs + workMs * (urgency + delay);
});

/** Whether the work due by any due time needs more than a share of the slots until then. */
export const contend = (steps: readonly StepState[], totalSlots: number): boolean => {
  let workMs = 0;
  return [...steps]
    .sort((left, right) => left.dueInMs - right.dueInMs)
    .some(({ groups, dueInMs }) => {
      workMs += sumOf(groups, (group) => group.workMs);
      return workMs > CONTENTION_SHARE * totalSlots * Math.max(0, dueInMs);
    });
};

/** The order in use: by urgency where steps contend for the slots, else by submission. */
export const byContention: StepOrder = (steps, totalSlots) =>
  (contend(steps, totalSlots) ? byUrgency : bySubmission)(steps, totalSlots);
