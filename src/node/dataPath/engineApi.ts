import type { Readable } from 'node:stream';
import type { WorkerEndpoint } from '../membership/membershipView.ts';

/** A request for one generation on a model engine. */
export interface GenerationRequest {
  /** Identifies the stream at the engine; unique for each attempt. */
  readonly streamId: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly temperature?: number;
  readonly seed?: number;
  readonly priority: 'caller' | 'training';
  /** Tokens that earlier attempts generated; the generation continues after them. */
  readonly resumeAfter?: readonly number[];
  /** Model or adapter. May be omitted when the engine has only one. */
  readonly model?: string;
  /** Further fields of the completions API, forwarded unchanged. */
  readonly sampling?: Readonly<Record<string, unknown>>;
  /** W3C trace context to forward to the engine. */
  readonly traceparent?: string;
}

/** One event of a generation stream. */
export interface TokenChunk {
  readonly text: string;
  readonly tokenIds: readonly number[];
  /** Version of the weights that generated these tokens, as reported by the engine. */
  readonly weightVersion: number;
  /** Zero-based position of the first token within the generation, across all attempts. */
  readonly position: number;
  /** Why the generation ended; set on the last chunk only. */
  readonly finishReason?: string;
  /** Number of tokens in the prompt; set on the last chunk when the engine reports it. */
  readonly promptTokens?: number;
}

/** Load report of an engine. It lags behind the actual load. */
export interface EngineLoad {
  readonly running: number;
  readonly waiting: number;
  readonly maxRunning: number;
  readonly weightVersion: number;
  readonly state: 'ready' | 'loading' | 'leaving' | 'failed';
}

/** A control command to an engine, sent only by the holder of the pool's lease. */
export interface EngineOrder {
  readonly orderId: string;
  readonly kind: 'load_weights' | 'load_adapter' | 'set_role';
  readonly version?: number;
  readonly uri?: string;
  readonly adapter?: string;
  readonly role?: string;
  /** Fencing token of the pool's lease. */
  readonly fencing: number;
  /** Time from now within which the engine may start the order, in ms; it must not start it later. */
  readonly deadlineMs: number;
  /** `drain` lets running streams finish first; `interrupt` aborts them. */
  readonly strategy: 'drain' | 'interrupt';
}

/** What is known about an order after a call to the engine. */
export type OrderResult =
  | { readonly status: 'taken' }
  /** Rejected: the engine has already seen the larger fencing token `fencing`. */
  | { readonly status: 'fenced'; readonly fencing: number }
  /** No usable response; the engine may have accepted the order. */
  | { readonly status: 'unknown' };

/** A change to an engine's prefix cache. Events may be delayed, and `sequence` may have gaps. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'removed';
  readonly prefixHash: string;
}

/** Calls to model engines. Every call is bounded in time. */
export interface EngineApi {
  /**
   * Streams the tokens of a generation. Ends after a chunk with `finishReason`; throws when the stream is interrupted
   * before it. Aborting `signal` cancels the stream at the engine.
   */
  generate(
    worker: WorkerEndpoint,
    request: GenerationRequest,
    signal: AbortSignal,
  ): AsyncIterable<TokenChunk>;
  load(worker: WorkerEndpoint): Promise<EngineLoad>;
  /** Ids of the streams that the engine is processing. */
  listStreams(worker: WorkerEndpoint): Promise<readonly string[]>;
  cancel(worker: WorkerEndpoint, streamId: string): Promise<void>;
  order(worker: WorkerEndpoint, order: EngineOrder): Promise<OrderResult>;
  /** The serialized KV cache of a stream. The consumer must read it to the end or destroy it. */
  exportKv(worker: WorkerEndpoint, streamId: string): Promise<Readable>;
  /** Imports a KV cache. Resolves with the id of the stream that can be continued on this engine. */
  importKv(worker: WorkerEndpoint, bytes: Readable): Promise<string>;
  /** Cache events whose sequence is greater than `after`, and the value of `after` for the next call. */
  cacheEvents(
    worker: WorkerEndpoint,
    after: number,
  ): Promise<{ readonly events: readonly CacheEvent[]; readonly next: number }>;
}
