import { BaseError } from '../../shared/errors.ts';
import type {
  CacheEvent,
  EngineLoad,
  EngineOrder,
  GenerationRequest,
  TokenChunk,
} from './engineApi.ts';

/**
 * A failed call to a model engine. `not-connected`: the engine received nothing. `rejected`: it responded with an error
 * status. `broken`: the response was interrupted or malformed. `silent`: no data arrived and the engine is no longer
 * processing the request. `aborted`: the call was aborted on this side.
 */
export const EngineError = BaseError.subclass('EngineError', {
  props: {
    kind: 'broken' as 'not-connected' | 'rejected' | 'broken' | 'silent' | 'aborted',
    /** Status code of the response, for `rejected`. */
    statusCode: undefined as number | undefined,
    /** Body of the response, for `rejected`; at most 64 KiB. */
    body: undefined as Buffer | undefined,
  },
});

const isRecord = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null;

const asNumber = (value: unknown, name: string): number => {
  if (typeof value === 'number' && Number.isFinite(value)) return value;
  throw new EngineError(
    `field ${name} of the engine's response is ${JSON.stringify(value)}; expected a number`,
  );
};

/** Parses a response or event of an engine, which must be a JSON object. */
export const parseJson = (text: string): Record<string, unknown> => {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    throw new EngineError('the engine sent invalid JSON', { cause: error });
  }
  if (isRecord(value)) return value;
  throw new EngineError('the engine sent a JSON value that is not an object');
};

/** Body of `POST /v1/completions`. */
export const completionBody = (request: GenerationRequest): string =>
  JSON.stringify({
    ...request.sampling,
    model: request.model,
    prompt: request.prompt,
    max_tokens: request.maxTokens,
    temperature: request.temperature,
    seed: request.seed,
    stream: true,
    stream_options: { include_usage: true },
    resume: request.resumeAfter?.length ? { token_ids: request.resumeAfter } : undefined,
  });

/** A parsed server-sent event of a generation stream. */
export type EngineEvent =
  | { readonly kind: 'chunk'; readonly chunk: TokenChunk }
  | { readonly kind: 'usage'; readonly promptTokens: number };

/**
 * Parses the data of one server-sent event.
 *
 * @throws EngineError when it reports an error or lacks fields that a resumable stream needs
 */
export const parseEvent = (data: string): EngineEvent => {
  const event = parseJson(data);
  if (event.error !== undefined) {
    throw new EngineError(`the engine reported an error: ${JSON.stringify(event.error)}`);
  }
  const [choice] = (event.choices ?? []) as { text?: string; finish_reason?: string | null }[];
  if (choice === undefined && isRecord(event.usage)) {
    return { kind: 'usage', promptTokens: asNumber(event.usage.prompt_tokens, 'prompt_tokens') };
  }
  if (!Array.isArray(event.token_ids)) {
    throw new EngineError("an event of the engine's stream lacks the field token_ids");
  }
  return {
    kind: 'chunk',
    chunk: {
      text: choice?.text ?? '',
      tokenIds: event.token_ids.map((token) => asNumber(token, 'token_ids')),
      weightVersion: asNumber(event.weight_version, 'weight_version'),
      position: asNumber(event.position, 'position'),
      finishReason: choice?.finish_reason ?? undefined,
    },
  };
};

const LOAD_STATES = new Set(['ready', 'loading', 'leaving', 'failed']);

/** Parses the response to `GET /v1/load`. */
export const parseLoad = (text: string): EngineLoad => {
  const load = parseJson(text);
  if (!LOAD_STATES.has(String(load.state))) {
    throw new EngineError(`the engine reported the unknown state ${JSON.stringify(load.state)}`);
  }
  return {
    running: asNumber(load.running, 'running'),
    waiting: asNumber(load.waiting, 'waiting'),
    maxRunning: asNumber(load.max_running, 'max_running'),
    weightVersion: asNumber(load.weight_version, 'weight_version'),
    state: load.state as EngineLoad['state'],
  };
};

/** Body of `POST /v1/orders`. */
export const orderBody = (order: EngineOrder): string =>
  JSON.stringify({
    order_id: order.orderId,
    kind: order.kind,
    version: order.version,
    uri: order.uri,
    adapter: order.adapter,
    role: order.role,
    fencing: order.fencing,
    deadline_ms: order.deadlineMs,
    strategy: order.strategy,
  });

/** Parses the response to `GET /v1/cache-events`. */
export const parseCacheEvents = (text: string): { events: CacheEvent[]; next: number } => {
  const response = parseJson(text);
  const events = (Array.isArray(response.events) ? response.events : []) as Record<
    string,
    unknown
  >[];
  return {
    events: events.map((event) => ({
      sequence: asNumber(event.sequence, 'sequence'),
      kind: event.kind === 'removed' ? 'removed' : 'stored',
      prefixHash: String(event.prefix_hash),
    })),
    next: asNumber(response.next, 'next'),
  };
};
