import type { TokenChunk } from './engineApi.ts';
import type { ProblemFields } from './problem.ts';

/** Values that are the same in all parts of one completion. */
export interface CompletionIdentity {
  readonly id: string;
  readonly model: string | undefined;
  /** Unix time in seconds. */
  readonly createdSeconds: number;
}

/** Writes the tokens of one generation as a response of the completions API. */
export interface CompletionWriter {
  /** Whether the response headers have been sent. After that a failure can only be reported inside the stream. */
  readonly headersSent: boolean;
  write(chunk: TokenChunk): Promise<void>;
  end(): Promise<void>;
  /**
   * Reports a failure after the headers were sent, so that the response does not look complete: a stream gets an error
   * event and is broken off.
   */
  fail(detail: string, fields: ProblemFields): void;
}

/** The `usage` object of a completion. */
export const usageOf = (promptTokens: number | undefined, completionTokens: number) => ({
  // Omitted when the engine did not report it. Clients would take a placeholder such as 0 for an actual count.
  prompt_tokens: promptTokens,
  completion_tokens: completionTokens,
  total_tokens: promptTokens === undefined ? undefined : promptTokens + completionTokens,
});

/** Fields shared by every response and stream event. */
export const commonFieldsOf = ({ id, model, createdSeconds }: CompletionIdentity) => ({
  id,
  object: 'text_completion',
  created: createdSeconds,
  model,
});
