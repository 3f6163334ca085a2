/** How the samples of a step are generated. */
export interface Sampling {
  readonly maxTokens: number;
  readonly temperature?: number;
  /** Base of the samples' seeds; each ordinal adds its number. Absent: the engine chooses. */
  readonly seed?: number;
}

/** Body of `POST /v1/jobs/{job}/steps`. */
export interface StepSubmission {
  readonly stepId: string;
  readonly groups: readonly { readonly groupId: string; readonly prompt: string }[];
  readonly samplesPerGroup: number;
  readonly sampling: Sampling;
  /** Time in which the step should be complete, in ms from its submission. */
  readonly deadlineMs: number;
}

/** Body of `POST /v1/jobs/{job}/pull`. */
export interface PullRequest {
  /** Empty on the first pull. */
  readonly cursor: string;
  readonly pullSequence: number;
  readonly maxSamples: number;
  readonly waitMs: number;
}

/** Body of `POST /v1/jobs/{job}/weights`. */
export interface WeightPublication {
  readonly version: number;
  readonly uri: string;
}

/** Tokens `from` (inclusive) to `to` (exclusive) were made by one weight version. */
export interface TokenRange {
  readonly from: number;
  readonly to: number;
  readonly weightVersion: number;
}

/** A generated and scored sample. */
export interface SampleContent {
  readonly stepId: string;
  readonly groupId: string;
  readonly ordinal: number;
  readonly attempt: number;
  readonly text: string;
  readonly tokenIds: readonly number[];
  readonly ranges: readonly TokenRange[];
  readonly finishReason: string;
  readonly scores: Readonly<Record<string, number>>;
}

/** Last line of an answer to a pull. */
export interface PullEnd {
  readonly cursor: string;
  /** Steps whose prompts the owner lacks; the trainer submits them again. */
  readonly resubmitSteps: readonly string[];
}
