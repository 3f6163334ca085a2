import type { TokenChunk } from './engineApi.ts';
import type { ProblemFields } from './problem.ts';

export interface CompletionIdentity {
  readonly id: string;
  readonly model: string | undefined;
  /** Seconds since 1970-01-01 UTC. */
  readonly createdSeconds: number;
}

/** Writes one generation as an answer of the completions interface. */
export interface CompletionWriter {
  /** Whether bytes were sent, so that a failure can only be told inside the stream. */
  readonly headersSent: boolean;
  write(chunk: TokenChunk): Promise<void>;
  end(): Promise<void>;
  /** Ends a begun stream with an error event. */
  fail(detail: string, fields: ProblemFields): void;
}

/** Token counts of one generation. */
export const usageOf = (promptTokens: number | undefined, completionTokens: number) => ({
  // Absent when the engine did not report it: a made-up number would be taken for a count.
  prompt_tokens: promptTokens,
  completion_tokens: completionTokens,
  total_tokens: promptTokens === undefined ? undefined : promptTokens + completionTokens,
});

/** Fields that every answer and event has. */
export const commonFieldsOf = ({ id, model, createdSeconds }: CompletionIdentity) => ({
  id,
  object: 'text_completion',
  created: createdSeconds,
  model,
});
