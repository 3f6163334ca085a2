import { requestError } from './problem.ts';

/** A completion request whose generation can be resumed on another engine. */
export interface CompletionRequest {
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stream: boolean;
  /** Whether the stream ends with an event that carries the token counts. */
  readonly includeUsage: boolean;
  readonly model?: string;
  readonly temperature?: number;
  readonly seed?: number;
  /** All other fields, forwarded unchanged. */
  readonly sampling: Readonly<Record<string, unknown>>;
}

/** Default of the completions API. */
const DEFAULT_MAX_TOKENS = 16;

/** Largest `max_tokens` that can be resumed. Token ids are kept in memory during a generation, up to about 8 MB. */
const MAX_RESUMABLE_TOKENS = 1_000_000;

const invalidRequest = (detail: string) =>
  requestError(detail, { outcome: 'not-run', statusCode: 400, code: 'invalid-request' });

const parseObject = (body: Buffer): Record<string, unknown> => {
  let value: unknown;
  try {
    value = JSON.parse(body.toString());
  } catch {
    throw invalidRequest(
      'the request body is not valid JSON; send an object with the field `prompt`',
    );
  }
  if (typeof value === 'object' && value !== null && !Array.isArray(value)) {
    return value as Record<string, unknown>;
  }
  throw invalidRequest(
    'the request body is not a JSON object; send an object with the field `prompt`',
  );
};

const optionalField = <T extends 'number' | 'string' | 'boolean'>(
  fields: Record<string, unknown>,
  name: string,
  type: T,
): { number: number; string: string; boolean: boolean }[T] | undefined => {
  const value = fields[name];
  if (value === undefined || value === null) return undefined;

  if (typeof value !== type) throw invalidRequest(`the field \`${name}\` must be a ${type}`);
  return value as { number: number; string: string; boolean: boolean }[T];
};

/** Fields that the engine client sets itself, so they are not forwarded unchanged. */
const RESERVED_FIELDS = new Set([
  'prompt',
  'max_tokens',
  'stream',
  'stream_options',
  'model',
  'temperature',
  'seed',
  'resume',
]);

/** Whether the request is for one choice of one prompt, without fields whose results the token stream cannot carry. */
const hasSingleTokenStream = (fields: Record<string, unknown>): boolean =>
  typeof fields.prompt === 'string' &&
  (fields.n ?? 1) === 1 &&
  (fields.best_of ?? 1) === 1 &&
  !fields.echo &&
  (fields.logprobs ?? null) === null &&
  (fields.suffix ?? null) === null &&
  (fields.resume ?? null) === null;

/**
 * Parses the body of `POST /v1/completions`.
 *
 * @returns undefined for requests that cannot be resumed, such as those with several prompts or choices
 * @throws RequestError with outcome `not-run` when the body is invalid
 */
export const parseResumableCompletion = (body: Buffer): CompletionRequest | undefined => {
  const fields = parseObject(body);
  if (fields.prompt === undefined) throw invalidRequest('the field `prompt` is missing');
  const maxTokens = optionalField(fields, 'max_tokens', 'number') ?? DEFAULT_MAX_TOKENS;
  if (!Number.isInteger(maxTokens) || maxTokens < 0) {
    throw invalidRequest('the field `max_tokens` must be a non-negative integer');
  }
  const stream = optionalField(fields, 'stream', 'boolean') ?? false;
  const model = optionalField(fields, 'model', 'string');
  const temperature = optionalField(fields, 'temperature', 'number');
  const seed = optionalField(fields, 'seed', 'number');
  if (!hasSingleTokenStream(fields) || maxTokens === 0 || maxTokens > MAX_RESUMABLE_TOKENS) {
    return undefined;
  }
  const streamOptions = fields.stream_options as { include_usage?: unknown } | null | undefined;
  return {
    prompt: fields.prompt as string,
    maxTokens,
    stream,
    includeUsage: streamOptions?.include_usage === true,
    model,
    temperature,
    seed,
    sampling: Object.fromEntries(
      Object.entries(fields).filter(([name]) => !RESERVED_FIELDS.has(name)),
    ),
  };
};
