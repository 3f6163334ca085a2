import type { Readable } from 'node:stream';
import type { WorkerEndpoint } from '../membership/membershipView.ts';

/** One generation on a model engine. */
export interface GenerationRequest {
  /** Names the stream at the engine; unique for each attempt. */
  readonly streamId: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly temperature?: number;
  readonly seed?: number;
  readonly priority: 'caller' | 'training';
  /** Tokens that an earlier attempt already gave; generation continues after them. */
  readonly resumeAfter?: readonly number[];
  /** Model or adapter; absent: the engine's only one. */
  readonly model?: string;
  /** Further fields of the usual completions interface, passed on as they are. */
  readonly sampling?: Readonly<Record<string, unknown>>;
  /** W3C trace context passed on to the engine. */
  readonly traceparent?: string;
}

/** One event of a generation stream. */
export interface TokenChunk {
  readonly text: string;
  readonly tokenIds: readonly number[];
  /** Weight version that made these tokens, as the engine reported it. */
  readonly weightVersion: number;
  /** Position of the first token in the whole generation, counted from 0. */
  readonly position: number;
  /** Set on the last chunk: why the generation ended. */
  readonly finishReason?: string;
  /** May be set on the last chunk: tokens in the prompt, when the engine reports them. */
  readonly promptTokens?: number;
}

/** Load report of an engine; lags behind. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  readonly maxRunning: number;
  readonly weightVersion: number;
  readonly state: 'ready' | 'loading' | 'leaving' | 'failed';
}

/** An order that only the holder of the pool's lease gives. */
export interface EngineOrder {
  readonly orderId: string;
  readonly kind: 'load_weights' | 'load_adapter' | 'set_role';
  readonly version?: number;
  readonly uri?: string;
  readonly adapter?: string;
  readonly role?: string;
  /** Fencing number of the pool's lease. */
  readonly fencing: number;
  /** The engine must not start the order later than this, in ms from now. */
  readonly deadlineMs: number;
  /** `drain` finishes running streams first; `interrupt` cuts them. */
  readonly strategy: 'drain' | 'interrupt';
}

export type OrderResult =
  | { readonly status: 'taken' }
  /** Refused: the engine has seen the larger fencing number `fencing`. */
  | { readonly status: 'fenced'; readonly fencing: number }
  /** The engine did not answer; it may have taken the order. */
  | { readonly status: 'unknown' };

/** A change of an engine's prefix cache. Events come late and with gaps in `sequence`. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'removed';
  readonly prefixHash: string;
}

/** Calls to one model engine. Every call is bounded in time. */
export interface EngineApi {
  /**
   * Generates tokens. Ends after a chunk with `finishReason`; throws when the stream breaks off before it.
   * Aborting `signal` cancels the stream at the engine.
   */
  generate(
    worker: WorkerEndpoint,
    request: GenerationRequest,
    signal: AbortSignal,
  ): AsyncIterable<TokenChunk>;
  load(worker: WorkerEndpoint): Promise<EngineLoad>;
  /** Names of the streams that the engine is working on. */
  streams(worker: WorkerEndpoint): Promise<readonly string[]>;
  cancel(worker: WorkerEndpoint, streamId: string): Promise<void>;
  order(worker: WorkerEndpoint, order: EngineOrder): Promise<OrderResult>;
  /** Bytes of the KV cache of a stream. The reader must read to the end or destroy it. */
  exportKv(worker: WorkerEndpoint, streamId: string): Promise<Readable>;
  /** Loads a KV cache. Resolves with the name of the stream that can be continued at this engine. */
  importKv(worker: WorkerEndpoint, bytes: Readable): Promise<string>;
  /** Cache events with a sequence above `after`, and the value for the next call. */
  cacheEvents(
    worker: WorkerEndpoint,
    after: number,
  ): Promise<{ readonly events: readonly CacheEvent[]; readonly next: number }>;
}
