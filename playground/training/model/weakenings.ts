import { STANDARD_LEDGER_RULES } from '../../../src/node/decisions/ledgerRules.ts';
import type { FaultKind, Variant } from './trainingModel.ts';

/** A rule of the product replaced by a weaker one. */
export interface Weakening {
  readonly name: string;
  readonly variant: Variant;
  /** What the schedule that fails must violate. */
  readonly expected: RegExp;
  readonly kinds: readonly FaultKind[];
  /** Seed of the schedules. */
  readonly seed: number;
}

const withRule = (rule: Partial<typeof STANDARD_LEDGER_RULES>): Variant => ({
  rules: { ...STANDARD_LEDGER_RULES, ...rule },
  // These are noticed first and say less than what the trainer receives.
  passOver: /without a commit|hands over under|two contents|voided after receipt/,
});

export const WEAKENINGS: readonly Weakening[] = [
  {
    name: 'a sample that is handed over before its commit',
    variant: withRule({ mayHandOver: (state) => state === 'committed' || state === 'pending' }),
    // The next owner does not know the position, so the trainer gets the sample twice or is refused for good.
    expected: /received twice|only \d+ of/,
    kinds: ['crash', 'pause', 'outage', 'slow-platform', 'lost-answers'],
    seed: 1,
  },
  {
    name: 'a cursor without the fencing number',
    variant: withRule({ acceptsFencing: () => true }),
    expected: /received twice/,
    kinds: ['crash', 'pause', 'trainer-network'],
    seed: 97,
  },
  {
    name: 'pulls without a sequence number',
    variant: withRule({ acceptsSequence: () => true }),
    expected: /received twice/,
    kinds: ['publish', 'trainer-network'],
    seed: 93,
  },
  {
    name: 'a holder that counts its lease from the answer',
    variant: { holdStart: (_, answered) => answered },
    expected: /holders act at once|hands over under/,
    kinds: ['slow-platform', 'lost-answers', 'outage', 'pause'],
    seed: 53,
  },
  {
    name: 'staleness that is checked when the sample is generated',
    variant: withRule({ publishedForStaleness: (_, atCompletion) => atCompletion }),
    expected: /staleness/,
    kinds: ['publish', 'outage', 'trainer-network'],
    seed: 2,
  },
];
