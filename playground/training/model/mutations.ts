import { STANDARD_LEDGER_RULES } from '../../../src/node/decisions/ledgerRules.ts';
import type { FaultKind, ModelVariant } from './trainingModel.ts';

/** Replaces one production rule by a weaker one. The model must detect the resulting faults. */
export interface Mutation {
  readonly name: string;
  readonly variant: ModelVariant;
  /** Violation that the failing schedule must report. */
  readonly expected: RegExp;
  readonly faultKinds: readonly FaultKind[];
  /** Seed from which the schedules are generated. */
  readonly seed: number;
}

const withRule = (rule: Partial<typeof STANDARD_LEDGER_RULES>): ModelVariant => ({
  rules: { ...STANDARD_LEDGER_RULES, ...rule },
  // Checks inside the model report these first; ignore them, so that the test shows the effect on the trainer.
  ignoredViolations: /without a commit|hands over under|two contents|voided after receipt/,
});

export const MUTATIONS: readonly Mutation[] = [
  {
    name: 'samples are handed over before they are committed',
    variant: withRule({ mayHandOver: (state) => state === 'committed' || state === 'pending' }),
    // The next owner does not know the position: the trainer receives the sample twice, or every pull is refused.
    expected: /received twice|only \d+ of/,
    faultKinds: ['crash', 'pause', 'outage', 'slow-platform', 'lost-answers'],
    seed: 1,
  },
  {
    name: 'cursors are accepted with any fencing token',
    variant: withRule({ acceptsFencing: () => true }),
    expected: /received twice/,
    faultKinds: ['crash', 'pause', 'trainer-network'],
    seed: 97,
  },
  {
    name: 'pulls are accepted with any sequence number',
    variant: withRule({ acceptsSequence: () => true }),
    expected: /received twice/,
    faultKinds: ['publish', 'trainer-network'],
    seed: 93,
  },
  {
    name: 'a lease holder counts the TTL from the response instead of the send time',
    variant: { ttlStart: (_, answered) => answered },
    expected: /holders act at once|hands over under/,
    faultKinds: ['slow-platform', 'lost-answers', 'outage', 'pause'],
    seed: 53,
  },
  {
    name: 'staleness is measured at completion instead of hand-over',
    variant: withRule({ publishedForStaleness: (_, atCompletion) => atCompletion }),
    expected: /staleness/,
    faultKinds: ['publish', 'outage', 'trainer-network'],
    seed: 2,
  },
];
