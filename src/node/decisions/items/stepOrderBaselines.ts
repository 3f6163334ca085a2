import {
  type GroupState,
  neededFirst,
  neededWork,
  rankInOrder,
  READ_SLACK_MS,
  splitNeeded,
  type StepOrder,
  sumOf,
} from './stepOrder.ts';

/** Baseline for comparison: earliest due time first. */
export const byDueTime: StepOrder = neededFirst(({ dueInMs }) => dueInMs);

/** Baseline for comparison: the step with the least work left first. */
export const byLeastWork: StepOrder = neededFirst(neededWork);

/** Baseline for comparison, equal shares: groups of all steps in turn, the step with the fewest running items first. */
export const byEqualShares: StepOrder = (steps) => {
  const queues = steps.map((step) => ({
    ...{ taken: step.runningItems, next: 0 },
    ...splitNeeded(step),
  }));
  const ordered: GroupState[] = [];
  const isOpen = ({ next, needed }: (typeof queues)[number]) => next < needed.length;
  for (let open = queues.filter(isOpen); open.length > 0; open = queues.filter(isOpen)) {
    const queue = open.reduce((fewest, each) => (each.taken < fewest.taken ? each : fewest));
    const group = queue.needed[queue.next];
    queue.next += 1;
    if (group !== undefined) {
      queue.taken += group.waitingItems;
      ordered.push(group);
    }
  }
  return rankInOrder([...ordered, ...queues.flatMap(({ spare }) => spare)]);
};

/**
 * Baseline for comparison, a plan that gives up groups early: by due time, as many groups as the slots complete by then. The
 * largest groups are given up, and go after all others.
 */
export const byPlan: StepOrder = (steps, totalSlots) => {
  const plan = [...steps]
    .sort((left, right) => left.dueInMs - right.dueInMs)
    .map((step) => {
      const { needed, spare } = splitNeeded(step);
      const leftMs = step.dueInMs + READ_SLACK_MS;
      const isPossible = ({ longestMs }: GroupState) => longestMs <= leftMs;
      const givenUp = needed.filter((group) => !isPossible(group));
      return { leftMs, kept: needed.filter(isPossible), givenUp, spare };
    });
  const lastOf = ({ kept }: (typeof plan)[number]) => kept.at(-1)?.workMs ?? 0;
  let workMs = 0;
  plan.forEach((step, index) => {
    workMs += sumOf(step.kept, (group) => group.workMs);
    while (workMs > Math.max(0, step.leftMs) * totalSlots) {
      const from = plan
        .slice(0, index + 1)
        .reduce((largest, each) => (lastOf(each) > lastOf(largest) ? each : largest));
      const group = from.kept.pop();
      if (group === undefined) return;
      from.givenUp.push(group);
      workMs -= group.workMs;
    }
  });
  return rankInOrder([
    ...plan.flatMap(({ kept }) => kept),
    ...plan.flatMap(({ givenUp }) => givenUp),
    ...plan.flatMap(({ spare }) => spare),
  ]);
};
