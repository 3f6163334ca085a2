import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { onInvariantViolation } from '../../../shared/invariants.ts';
import { seededRandom } from '../../../shared/random.ts';
import { KeyHome, type KeyHomeOptions } from '../../decisions/keyHome.ts';
import { KeyWitness } from '../../decisions/keyWitness.ts';
import type { IdempotencyKey } from '../../decisions/idempotencyKey.ts';
import { type Design, KeyedModel } from './keyedModel.ts';
import { PRODUCTION_DESIGN, keyedSchedule } from './keyedSchedule.ts';

/** A home that drops all records at the limit instead of refusing new keys. */
const createEvictingHome = (options: KeyHomeOptions): ReturnType<Design['createHome']> => {
  let current = new KeyHome(options);
  const runningIn = new Map<string, KeyHome>();
  const homeOf = (key: IdempotencyKey) => runningIn.get(key.text) ?? current;
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
    abandon: (key) => homeOf(key).abandon(key),
    recordResponse: (key, response) => homeOf(key).recordResponse(key, response),
    recordLostResponse: (key) => homeOf(key).recordLostResponse(key),
    beginDispatch: (key, mayServe) => homeOf(key).beginDispatch(key, mayServe),
    close: (key, code) => homeOf(key).close(key, code),
    handleGrantDecision: (key, decision) => homeOf(key).handleGrantDecision(key, decision),
    settlementOf: (key) => homeOf(key).settlementOf(key),
    stopWaiting: (key) => homeOf(key).stopWaiting(key),
  };
};

const FAULTY_DESIGNS: [string, Partial<Design>, string][] = [
  [
    'no witness, and not-run when the home does not respond',
    { witnesses: false, outcomeAfterSeal: () => 'not-run' },
    'ran after not-run',
  ],
  [
    'a witness that does not store seals',
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
  ['a home that drops its records at the limit', { createHome: createEvictingHome }, 'ran twice'],
  ['expiry by the wall clock alone', { createNow: (clock) => () => clock.nowMs() }, 'ran twice'],
];

interface Failure {
  readonly seed: number;
  readonly run: number;
  readonly violation: string;
}

/** Runs schedules until one causes a violation, or until one causes `expectedViolation` if it is given. */
const findViolation = async (
  design: Design,
  schedules: number,
  seed: number,
  expectedViolation?: string,
) => {
  const outcomes: Record<string, number> = {};
  let failure: Failure | undefined;
  let run = 0;
  for (const { seed: messageSeed, sends, faults } of fc.sample(keyedSchedule, {
    seed,
    numRuns: schedules,
  })) {
    const model = new KeyedModel(design, seededRandom(messageSeed));
    onInvariantViolation((name) => model.violations.push(name));
    const violations = await model.runSteps([...sends, ...faults]);
    const violation = expectedViolation
      ? violations.find((each) => each === expectedViolation)
      : violations[0];
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

// Guards against interleavings of faults in which a key runs twice, runs after `not-run`, or gets different responses.
test('no schedule of faults violates at-most-once, not-run, the responses to repeats or the limits', async (context) => {
  const { outcomes, failure } = await findViolation(PRODUCTION_DESIGN, 4000, SEED);
  context.diagnostic(`outcomes over 4000 schedules: ${JSON.stringify(outcomes)}`);
  expect(failure).toEqual(undefined);
  // The schedules must produce enough of each outcome to be conclusive.
  for (const outcome of ['answered', 'not-run', 'unknown']) {
    expect(outcomes[outcome] ?? 0).toBeGreaterThan(4000);
  }
});

// Guards against a harness that does not detect the faults that the design avoids.
for (const [name, change, violation] of FAULTY_DESIGNS) {
  test(`the same schedules find the violation with: ${name}`, async (context) => {
    const { failure } = await findViolation(
      { ...PRODUCTION_DESIGN, ...change },
      16_000,
      SEED,
      violation,
    );
    context.diagnostic(JSON.stringify(failure));
    expect(failure?.violation).toEqual(violation);
  });
}
