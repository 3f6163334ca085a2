/** A sample that was generated and scored. */
export interface CompletedSample {
  readonly stepId: string;
  /** `group index * samplesPerGroup + sample index`. */
  readonly ordinal: number;
  readonly attempt: number;
  /** Digest of the sample's content. */
  readonly digest: string;
  /** Oldest weight version that generated any of its tokens. */
  readonly oldestVersion: number;
}

/** Stored form of one position of the window. */
export interface WindowEntry {
  readonly position: number;
  readonly stepId: string;
  readonly ordinal: number;
  readonly attempt: number;
  readonly digest: string;
  readonly voided: boolean;
}

export interface LedgerStepValue {
  /** Digest of the step's content, by which a repeated submission is recognized. */
  readonly digest: string;
  /** Number of samples. */
  readonly total: number;
  /** Bitmap of the ordinals that have a position, base64. */
  readonly committed: string;
}

/** Value of the object `ledger/<job>`. */
export interface LedgerValue {
  /** Fencing token of the owner that wrote the object. */
  readonly fencing: number;
  /** The trainer has received every position below this one. */
  readonly acknowledged: number;
  readonly nextPosition: number;
  readonly steps: Readonly<Record<string, LedgerStepValue>>;
  /** Digests of the steps that ended last, by step id, so that a late repeat of a submission is not run again. */
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

/** Maximum number of positions that the trainer has not acknowledged. Keeps the object far below 1 MB. */
export const LEDGER_WINDOW = 2048;

/** Maximum number of unfinished steps of a job. The bitmap of a step of 16,384 samples takes 2.7 KB of the object. */
export const MAX_LEDGER_STEPS = 32;

/** Maximum number of ended steps that are still recognized when they are submitted again. */
export const MAX_FINISHED_STEPS = 64;
