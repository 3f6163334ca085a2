/** A sample that completed: generated and scored. */
export interface CompletedSample {
  readonly stepId: string;
  /** `group index * samplesPerGroup + sample index`. */
  readonly ordinal: number;
  readonly attempt: number;
  /** Digest of the sample's content. */
  readonly digest: string;
  /** Oldest weight version among its token ranges. */
  readonly oldestVersion: number;
}

/** One position of the window, as stored. */
export interface WindowEntry {
  readonly position: number;
  readonly stepId: string;
  readonly ordinal: number;
  readonly attempt: number;
  readonly digest: string;
  readonly voided: boolean;
}

export interface LedgerStepValue {
  /** Digest of the step's content, so that a repeat of a submission is recognised. */
  readonly digest: string;
  /** Number of samples. */
  readonly total: number;
  /** One bit for each ordinal, base64. */
  readonly committed: string;
}

/** Value of the object `ledger/<job>`. */
export interface LedgerValue {
  /** Fencing number of the owner that wrote it. */
  readonly fencing: number;
  /** The trainer has received every position below this one. */
  readonly acknowledged: number;
  readonly nextPosition: number;
  readonly steps: Readonly<Record<string, LedgerStepValue>>;
  /** Digests of the steps that ended last, so that a late repeat of a submission does not run them again. */
  readonly finished: Readonly<Record<string, string>>;
  readonly window: readonly WindowEntry[];
}

export const EMPTY_LEDGER: LedgerValue = {
  fencing: 0,
  acknowledged: 0,
  nextPosition: 0,
  steps: {},
  finished: {},
  window: [],
};

/** Positions between the trainer's acknowledgement and the newest commit. Keeps the object far below 1 MB. */
export const LEDGER_WINDOW = 2048;

/** Unfinished steps of a job; at 16,384 samples each bitmap takes 2.7 KB of the object. */
export const MAX_LEDGER_STEPS = 32;

/** Ended steps that are still recognised when they are submitted again. */
export const MAX_FINISHED_STEPS = 64;
