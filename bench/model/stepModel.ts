import type { StepOrder, StepState } from '../../src/node/decisions/items/stepOrder.ts';
import { type Random, seededRandom } from '../../src/shared/random.ts';
import { VirtualClock } from '../../src/shared/virtualClock.ts';

export interface StepScenario {
  readonly slots: number;
  readonly trainers: number;
  /** Whether a trainer submits a step only when the former one is trained, or every 4 s in any case. */
  readonly waits: boolean;
}

export interface StepOutcome {
  readonly stepsInTime: number;
  readonly steps: number;
  readonly groupsInTime: number;
  readonly groups: number;
  /** Share of the value of the groups that trainers waited for, with less for groups that are late. */
  readonly value: number;
  /** Share of the time in which trainers neither train nor wait for their next interval. */
  readonly idleShare: number;
  /** Value of the trainer with the least, relative to the mean. */
  readonly worstTrainer: number;
}

const TICK_MS = 50;
const RUN_MS = 60_000;
const STEP_INTERVAL_MS = 4000;
const DUE_MS = 7500;
const READ_SLACK_MS = 700;
const GIVE_UP_MS = 12_000;
const FIRST_EVENT_TICKS = 2;
const WANTED_SHARE = 0.9;

interface Item {
  readonly hintTicks: number;
  doneTicks: number;
  leftTicks: number;
  running: boolean;
}

interface Group {
  readonly key: string;
  readonly items: readonly Item[];
  doneMs: number | undefined;
}

interface Step {
  readonly trainer: number;
  readonly submittedMs: number;
  readonly groups: readonly Group[];
  readonly wanted: number;
}

const newItem = (random: Random): Item => {
  const usual = 6 + Math.floor(random() * 13);
  const length = random() < 0.1 ? usual * 5 : usual;
  const hintTicks = Math.max(1, Math.round(usual * (0.5 + random())));
  return { hintTicks, doneTicks: 0, leftTicks: length + FIRST_EVENT_TICKS, running: false };
};

const remaining = ({ hintTicks, doneTicks }: Item) =>
  doneTicks < hintTicks ? hintTicks - doneTicks : doneTicks / 2;

const isOpen = ({ leftTicks }: Item) => leftTicks > 0;

const newStep = (
  trainer: number,
  { groupSize, meanGroups }: { readonly groupSize: number; readonly meanGroups: number },
  nowMs: number,
  random: Random,
): Step => {
  const count = meanGroups + Math.floor(random() * 7);
  const groups = Array.from({ length: count }, (_, group): Group => ({
    key: `${trainer}/${nowMs}/${group}`,
    items: Array.from({ length: groupSize }, () => newItem(random)),
    doneMs: undefined,
  }));
  return { trainer, submittedMs: nowMs, groups, wanted: Math.ceil(count * WANTED_SHARE) };
};

/** Value of a group by its age when it is complete. */
const valueOf = (ageMs: number): number => {
  const lateMs = ageMs - DUE_MS - READ_SLACK_MS;
  return Math.max(0, Math.min(1, 1 - lateMs / (GIVE_UP_MS - DUE_MS - READ_SLACK_MS)));
};

/** Runs steps of trainers for one minute on equal slots: event times, arrivals and slots only. */
export const runSteps = (order: StepOrder, scenario: StepScenario, seed: number): StepOutcome => {
  const random = seededRandom(seed);
  const clock = new VirtualClock(0);
  const steps = new Set<Step>();
  // Each trainer has groups of one size, and steps of about one number of them.
  const trainers = Array.from({ length: scenario.trainers }, (_, index) => ({
    ...{ nextMs: index * 900, trainedUntilMs: 0, idleTicks: 0, value: 0, groups: 0 },
    groupSize: [4, 8, 16][Math.floor(random() * 3)] ?? 8,
    meanGroups: 5 + Math.floor(random() * 16),
  }));
  let [stepsInTime, stepCount, groupsInTime] = [0, 0, 0];
  const submit = (nowMs: number) => {
    for (const [index, trainer] of trainers.entries()) {
      const isBusy = [...steps].some((step) => step.trainer === index);
      if (nowMs >= trainer.nextMs && !(scenario.waits && isBusy)) {
        trainer.nextMs = nowMs + STEP_INTERVAL_MS;
        steps.add(newStep(index, trainer, nowMs, random));
      }
    }
  };
  const close = (step: Step, nowMs: number) => {
    const trainer = trainers[step.trainer];
    if (trainer === undefined) return;
    steps.delete(step);
    const ages = step.groups
      .flatMap(({ doneMs }) => (doneMs === undefined ? [] : [doneMs - step.submittedMs]))
      .sort((left, right) => left - right)
      .slice(0, step.wanted);
    const inTime = ages.filter((ageMs) => ageMs <= DUE_MS + READ_SLACK_MS).length;
    stepCount += 1;
    groupsInTime += inTime;
    if (inTime >= step.wanted) stepsInTime += 1;
    trainer.groups += step.wanted;
    trainer.value += ages.reduce((sum, ageMs) => sum + valueOf(ageMs), 0);
    const trainingMs = 500 + 500 * random();
    trainer.trainedUntilMs = nowMs + trainingMs;
    trainer.nextMs = Math.max(trainer.nextMs, scenario.waits ? nowMs + trainingMs : 0);
  };
  const advance = (nowMs: number) => {
    for (const step of steps) {
      for (const group of step.groups) {
        for (const item of group.items) {
          if (!item.running) continue;
          item.doneTicks += 1;
          item.leftTicks -= 1;
          item.running = isOpen(item);
        }
        if (group.doneMs === undefined && !group.items.some(isOpen)) group.doneMs = nowMs;
      }
      const done = step.groups.filter(({ doneMs }) => doneMs !== undefined).length;
      if (done >= step.wanted || nowMs - step.submittedMs >= GIVE_UP_MS) close(step, nowMs);
    }
  };
  const stateOf = (step: Step, nowMs: number): StepState => {
    const open = step.groups.filter(({ doneMs }) => doneMs === undefined);
    const items = step.groups.flatMap((group) => group.items);
    return {
      ...{ batch: `${step.trainer}/${step.submittedMs}`, rank: step.submittedMs },
      dueInMs: step.submittedMs + DUE_MS - nowMs,
      missingGroups: step.wanted - (step.groups.length - open.length),
      runningItems: items.filter(({ running }) => running).length,
      groups: open.map((group) => {
        const left = group.items.filter(isOpen);
        const waiting = left.filter(({ running }) => !running);
        return {
          key: group.key,
          workMs: left.reduce((sum, item) => sum + remaining(item) * TICK_MS, 0),
          longestMs: Math.max(...left.map((item) => remaining(item) * TICK_MS)),
          waitingItems: waiting.length,
          startedItems: group.items.length - waiting.length,
        };
      }),
    };
  };
  const place = (nowMs: number) => {
    const all = [...steps].flatMap(({ groups }) => groups.flatMap(({ items }) => items));
    const free = scenario.slots - all.filter(({ running }) => running).length;
    if (free <= 0) return;
    const ranks = order(
      [...steps].map((step) => stateOf(step, nowMs)),
      scenario.slots,
    );
    const waiting = [...steps].flatMap(({ groups }) =>
      groups.flatMap(({ key, items }) => {
        const rank = ranks.get(key);
        if (rank === undefined) return [];
        return items
          .filter((item) => isOpen(item) && !item.running)
          .map((item) => ({ item, rank }));
      }),
    );
    waiting.sort(
      (left, right) => left.rank - right.rank || right.item.hintTicks - left.item.hintTicks,
    );
    for (const { item } of waiting.slice(0, free)) item.running = true;
  };
  const tick = () => {
    const nowMs = clock.monotonicMs();
    advance(nowMs);
    submit(nowMs);
    place(nowMs);
    for (const [index, trainer] of trainers.entries()) {
      const isWaiting = [...steps].some(
        (step) => step.trainer === index && nowMs - step.submittedMs > STEP_INTERVAL_MS,
      );
      if (isWaiting && nowMs >= trainer.trainedUntilMs) trainer.idleTicks += 1;
    }
    if (nowMs < RUN_MS) clock.schedule(TICK_MS, tick);
  };
  clock.schedule(0, tick);
  clock.advance(RUN_MS);
  const shares = trainers.map(({ value, groups }) => (groups === 0 ? 0 : value / groups));
  const groups = trainers.reduce((sum, trainer) => sum + trainer.groups, 0);
  const value = trainers.reduce((sum, trainer) => sum + trainer.value, 0);
  const idleTicks = trainers.reduce((sum, trainer) => sum + trainer.idleTicks, 0);
  return {
    ...{ stepsInTime, steps: stepCount, groupsInTime, groups, value },
    idleShare: idleTicks / (RUN_MS / TICK_MS) / trainers.length,
    worstTrainer: Math.min(...shares),
  };
};
