import { expect } from 'earl';
import fc from 'fast-check';
import { onInvariantViolation } from '../../../src/shared/invariants.ts';
import {
  type FaultKind,
  type Schedule,
  TrainingModel,
  type ModelVariant,
} from './trainingModel.ts';

/** Faults begin within this time and end within twice this time, in ms. A step takes about half of this time. */
const FAULT_PHASE_MS = 6000;

const ALL_KINDS: readonly FaultKind[] = [
  'crash',
  'pause',
  'outage',
  'lost-answers',
  'slow-platform',
  'engine-failures',
  'trainer-network',
  'publish',
];

/** Generates schedules of up to eight faults of the given kinds. */
export const schedulesOf = (kinds: readonly FaultKind[] = ALL_KINDS): fc.Arbitrary<Schedule> =>
  fc.record({
    seed: fc.integer({ min: 0, max: 2 ** 31 }),
    faults: fc.array(
      fc.record({
        kind: fc.constantFrom(...kinds),
        atMs: fc.integer({ min: 0, max: FAULT_PHASE_MS }),
        durationMs: fc.integer({ min: 50, max: FAULT_PHASE_MS }),
        node: fc.integer({ min: 0, max: 2 }),
      }),
      { maxLength: 8 },
    ),
  });

/** Runs a schedule. Returns the violations. */
export const violationsOf = async (
  { seed, faults }: Schedule,
  variant: ModelVariant = {},
): Promise<readonly string[]> => {
  const model = new TrainingModel(seed, variant);
  onInvariantViolation(model.onInvariant);
  return model.run(faults);
};

/** Runs `numRuns` random schedules of the given kinds of faults and fails on the first violation. */
export const assertNoViolations = async (
  seed: number,
  numRuns: number,
  kinds?: readonly FaultKind[],
): Promise<void> => {
  // Refusals are frequent in these runs; capturing their stack traces would take most of the time.
  Error.stackTraceLimit = 0;
  const property = fc.asyncProperty(schedulesOf(kinds), async (schedule) => {
    expect(await violationsOf(schedule)).toEqual([]);
  });
  await fc.assert(property, { seed, numRuns, endOnFailure: true });
};
