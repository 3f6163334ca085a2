import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { runSteps, type StepScenario } from '../../../../../bench/model/stepModel.ts';
import {
  byContention,
  bySubmission,
  byUrgency,
  contend,
  type GroupState,
  type StepOrder,
  type StepState,
} from '../stepOrder.ts';
import { byDueTime, byEqualShares, byLeastWork, byPlan } from '../stepOrderBaselines.ts';

const group = (key: string, workMs: number): GroupState => ({
  ...{ key, workMs, longestMs: workMs / 4, waitingItems: 4, startedItems: 0 },
});

const step = (batch: string, parts: Partial<StepState> = {}): StepState => ({
  ...{ batch, rank: 0, dueInMs: 7000, missingGroups: 2, runningItems: 0 },
  groups: [group(`${batch}1`, 4000), group(`${batch}2`, 2000), group(`${batch}3`, 3000)],
  ...parts,
});

const order = (ranks: ReadonlyMap<string, number>) =>
  [...ranks].sort(([, left], [, right]) => left - right).map(([key]) => key);

// Guards against slots for groups beyond those that the trainer waits for, while needed ones of another step wait.
test('the groups with the least work left go first, and those beyond the needed ones last', () => {
  const other = step('b', { groups: [group('b1', 20_000)], missingGroups: 1 });
  expect(order(byUrgency([other, step('a')], 10))).toEqual(['a2', 'a3', 'b1', 'a1']);
});

// Guards against slots for a step that is late in any case, while another one becomes late because of it.
test('a step that cannot be complete in time any more goes after those that can', () => {
  const late = step('late', { dueInMs: -300 });
  const long = step('long', { groups: [group('long1', 30_000)], missingGroups: 1 });
  expect(order(byUrgency([late, long], 10))).toEqual(['long1', 'late2', 'late3', 'late1']);
});

// Guards against a step with little work that goes before a more urgent one in every case.
test('of two steps of similar work the one that is due sooner goes first', () => {
  const soon = step('soon', { dueInMs: 2000, groups: [group('soon1', 6000)], missingGroups: 1 });
  const later = step('later', { groups: [group('later1', 5000)], missingGroups: 1 });
  expect(order(byUrgency([later, soon], 10))).toEqual(['soon1', 'later1']);
});

// Guards against priorities of routes that have no effect once steps contend.
test('of two equal steps the one with the more urgent priority goes first', () => {
  const first = step('first', { groups: [group('first1', 5000)] });
  const second = step('second', { delayMs: 1500, groups: [group('second1', 4800)] });
  expect(order(byUrgency([second, first], 10))).toEqual(['first1', 'second1']);
});

// Guards against another order than the usual one where there are enough slots.
test('without contention all groups of a step have its rank', () => {
  const steps = [step('a', { rank: 5 }), step('b', { rank: 3 })];
  expect(contend(steps, 100)).toEqual(false);
  expect(byContention(steps, 100)).toEqual(bySubmission(steps, 100));
  expect([...bySubmission(steps, 100).values()]).toEqual([5, 5, 5, 3, 3, 3]);
  expect(contend(steps, 2)).toEqual(true);
});

// Guards against groups that never start because an order leaves them out.
test('every order ranks every group', () => {
  const orders = [byContention, byUrgency, byDueTime, byEqualShares, byLeastWork, byPlan];
  fc.assert(
    fc.property(
      fc.array(
        fc.record({
          dueInMs: fc.integer({ min: -5000, max: 7500 }),
          missingGroups: fc.integer({ min: -1, max: 6 }),
          works: fc.array(fc.nat({ max: 20_000 }), { maxLength: 6 }),
        }),
        { maxLength: 4 },
      ),
      fc.integer({ min: 1, max: 200 }),
      (drawn, slots) => {
        const steps = drawn.map(({ works, ...parts }, index) =>
          step(`${index}`, {
            ...parts,
            groups: works.map((workMs, at) => group(`${index}/${at}`, workMs)),
          }),
        );
        const keys = steps.flatMap(({ groups }) => groups.map(({ key }) => key)).sort();
        for (const each of orders) expect([...each(steps, slots).keys()].sort()).toEqual(keys);
      },
    ),
    { seed: 20261206, numRuns: 200 },
  );
});

const total = (each: StepOrder, scenario: StepScenario) =>
  [1, 2, 3]
    .map((seed) => runSteps(each, scenario, seed))
    .reduce(
      (sum, { value, stepsInTime }) => ({
        value: sum.value + value,
        stepsInTime: sum.stepsInTime + stepsInTime,
      }),
      { value: 0, stepsInTime: 0 },
    );

// Guards against an order under which trainers that share too few slots hold each other up, so that few groups are complete
// in time; the loads are those of `npx tsx bench/steps.ts`.
test('under scarcity the order completes half as many groups again as the order by submission', () => {
  const scarce = { slots: 36, trainers: 4, waits: true };
  const chosen = total(byContention, scarce);
  const before = total(bySubmission, scarce);
  expect(chosen.value > 1.5 * before.value).toEqual(true);
  expect(chosen.stepsInTime > 1.5 * before.stepsInTime).toEqual(true);
});

// Guards against a loss where slots suffice.
test('with enough slots the order completes as much as the order by submission', () => {
  const enough = { slots: 120, trainers: 3, waits: true };
  expect(total(byContention, enough).value >= total(bySubmission, enough).value).toEqual(true);
});
