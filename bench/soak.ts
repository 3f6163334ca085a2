import { Command } from 'commander';
import fc from 'fast-check';
import { modelSchedule, runSchedule } from '../playground/configurationModel/schedule.ts';
import { schedulesOf, violationsOf } from '../playground/training/model/scheduleArbitrary.ts';
import { KeyedModel } from '../src/node/keyed/__tests__/keyedModel.ts';
import { PRODUCTION_DESIGN, keyedSchedule } from '../src/node/keyed/__tests__/keyedSchedule.ts';
import { invariantCheckCount, onInvariantViolation } from '../src/shared/invariants.ts';
import { seededRandom } from '../src/shared/random.ts';

// Runs the randomised models with consecutive seeds for a limited time. Command: npm run soak -- --seed 1 --minutes 5
const SCHEDULES_PER_SEED = 50;

/** Runs the schedules generated from a seed and returns the violations found. */
type Suite = (seed: number) => Promise<readonly string[]>;

const sampleSchedules = <T>(arbitrary: fc.Arbitrary<T>, seed: number): T[] =>
  fc.sample(arbitrary, { seed, numRuns: SCHEDULES_PER_SEED });

const suites: Record<string, Suite> = {
  configuration: async (seed) => {
    const violations: string[] = [];
    onInvariantViolation((name) => violations.push(name));
    for (const schedule of sampleSchedules(modelSchedule, seed)) {
      violations.push(...(await runSchedule(schedule)).violations);
    }
    return violations;
  },
  keyed: async (seed) => {
    const violations: string[] = [];
    for (const { seed: messageSeed, sends, faults } of sampleSchedules(keyedSchedule, seed)) {
      const model = new KeyedModel(PRODUCTION_DESIGN, seededRandom(messageSeed));
      onInvariantViolation((name) => violations.push(name));
      violations.push(...(await model.runSteps([...sends, ...faults])));
    }
    return violations;
  },
  training: async (seed) => {
    const violations: string[] = [];
    for (const schedule of sampleSchedules(schedulesOf(), seed)) {
      violations.push(...(await violationsOf(schedule)));
    }
    return violations;
  },
};

const program = new Command('soak')
  .description('runs the randomised models with consecutive seeds for a limited time')
  .option('--seed <number>', 'first seed', '1')
  .option('--minutes <number>', 'duration', '5')
  .option('--suite <name>', `one of ${Object.keys(suites).join(', ')}; all when absent`);
program.parse();
const options = program.opts<{ seed: string; minutes: string; suite?: string }>();
const selectedSuites = Object.entries(suites).filter(
  ([name]) => options.suite === undefined || options.suite === name,
);
// Requests are refused often in these runs, and capturing stack traces would take most of the time.
Error.stackTraceLimit = 0;
const endMs = performance.now() + Number(options.minutes) * 60_000;
const schedules: Record<string, number> = {};
let failures = 0;
let seed = Number(options.seed);
for (; performance.now() < endMs; seed += 1) {
  for (const [name, run] of selectedSuites) {
    const violations = await run(seed);
    schedules[name] = (schedules[name] ?? 0) + SCHEDULES_PER_SEED;
    if (violations.length > 0) {
      failures += 1;
      console.log(`${name}, seed ${seed}: ${violations.slice(0, 3).join('; ')}`);
    }
  }
}
console.log(
  JSON.stringify({
    firstSeed: Number(options.seed),
    lastSeed: seed - 1,
    schedules,
    invariantChecks: invariantCheckCount(),
    seedsWithViolations: failures,
  }),
);
process.exitCode = failures > 0 ? 1 : 0;
