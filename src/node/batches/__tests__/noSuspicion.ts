import type { SuspectedItemsOptions } from '../suspectedItems.ts';

/** Holds nothing against items whose workers end. */
export const noSuspicion: SuspectedItemsOptions['poison'] = {
  hasSuspects: false,
  verdictOf: () => 'unsuspected',
  endsOf: () => 0,
  sinceLastEndMs: () => Infinity,
  recordAnswer() {},
  recordBroken: () => Promise.resolve(false),
  isCommonLoss: () => Promise.resolve(false),
};
