import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { onInvariantViolation } from '../../../shared/invariants.ts';
import { seededRandom } from '../../../shared/random.ts';
import { KeyHome, type KeyHomeOptions } from '../../decisions/keyHome.ts';
import { KeyWitness } from '../../decisions/keyWitness.ts';
import type { IdempotencyKey } from '../../decisions/idempotencyKey.ts';
import { type Design, KeyedModel } from './keyedModel.ts';
import { DESIGN, keyedSchedule } from './keyedSchedule.ts';

/** Forgets its records at the bound instead of refusing new keys. */
const createForgetfulHome = (options: KeyHomeOptions): ReturnType<Design['createHome']> => {
  let current = new KeyHome(options);
  const runningIn = new Map<string, KeyHome>();
  const of = (key: IdempotencyKey) => runningIn.get(key.text) ?? current;
  return {
    get size() {
      return current.size;
    },
    get keptBytes() {
      return current.keptBytes;
    },
    arrive(key, fingerprint, refusal) {
      if (current.size >= options.maxRecords) current = new KeyHome(options);
      const arrival = current.arrive(key, fingerprint, refusal);
      if (arrival.next === 'ask-witness' || arrival.next === 'dispatch') {
        runningIn.set(key.text, current);
      }
      return arrival;
    },
    abandon: (key) => of(key).abandon(key),
    answered: (key, answer) => of(key).answered(key, answer),
    answerLost: (key) => of(key).answerLost(key),
    beginDispatch: (key, mayServe) => of(key).beginDispatch(key, mayServe),
    close: (key, code) => of(key).close(key, code),
    grantAnswered: (key, decision) => of(key).grantAnswered(key, decision),
    settlementOf: (key) => of(key).settlementOf(key),
    stopWaiting: (key) => of(key).stopWaiting(key),
  };
};

const NAIVE: [string, Partial<Design>, string][] = [
  [
    'no witness, and not-run when the home is silent',
    { witnesses: false, outcomeAfterSeal: () => 'not-run' },
    'ran after not-run',
  ],
  [
    'a witness that does not remember seals',
    {
      createWitness: (options) => {
        const witness = new KeyWitness(options);
        const granted = new Set<string>();
        return {
          get size() {
            return witness.size;
          },
          grant: (key) => {
            granted.add(key.text);
            return witness.grant(key);
          },
          seal: (key) => (granted.has(key.text) ? 'granted-before' : 'sealed'),
        };
      },
    },
    'ran after not-run',
  ],
  ['records dropped at the bound', { createHome: createForgetfulHome }, 'ran twice'],
  ['expiry by the wall clock alone', { createNow: (clock) => () => clock.nowMs() }, 'ran twice'],
];

interface Failure {
  readonly seed: number;
  readonly run: number;
  readonly violation: string;
}

/** Plays schedules until one violates an invariant; with `wanted`, until one shows this violation. */
const explore = async (design: Design, schedules: number, seed: number, wanted?: string) => {
  const outcomes: Record<string, number> = {};
  let failure: Failure | undefined;
  let run = 0;
  for (const { seed: messageSeed, sends, faults } of fc.sample(keyedSchedule, {
    seed,
    numRuns: schedules,
  })) {
    const model = new KeyedModel(design, seededRandom(messageSeed));
    onInvariantViolation((name) => model.violations.push(name));
    const violations = await model.play([...sends, ...faults]);
    const violation = wanted ? violations.find((each) => each === wanted) : violations[0];
    for (const [name, count] of Object.entries(model.outcomes)) {
      outcomes[name] = (outcomes[name] ?? 0) + count;
    }
    if (violation !== undefined) {
      failure = { seed, run, violation };
      break;
    }
    run += 1;
  }
  onInvariantViolation(() => {});
  return { outcomes, failure };
};

const SEED = 20261204;

// Guards against any interleaving of faults in which a key runs twice, or runs after `not-run`, or changes its answer.
test('no schedule of faults breaks at-most-once, not-run, repeats or bounds', async (context) => {
  const { outcomes, failure } = await explore(DESIGN, 4000, SEED);
  context.diagnostic(`outcomes over 4000 schedules: ${JSON.stringify(outcomes)}`);
  expect(failure).toEqual(undefined);
  // The schedules would prove nothing if one outcome hardly occurred.
  for (const outcome of ['answered', 'not-run', 'unknown']) {
    expect(outcomes[outcome] ?? 0).toBeGreaterThan(4000);
  }
});

// Guards against a harness that would not notice the faults that the design was chosen to avoid.
for (const [name, change, violation] of NAIVE) {
  test(`the same schedules find the fault in: ${name}`, async (context) => {
    const { failure } = await explore({ ...DESIGN, ...change }, 16_000, SEED, violation);
    context.diagnostic(JSON.stringify(failure));
    expect(failure?.violation).toEqual(violation);
  });
}
