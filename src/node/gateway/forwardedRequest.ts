import type { Stopwatch } from '../../shared/clock.ts';
import type { HeaderList } from './workerCalls.ts';

/** Client account of a request, as far as forwarding it depends on the account. */
export interface ForwardingAccount {
  readonly name: string;
  /** Takes precedence over the route's priority; 0 is the most urgent. */
  readonly priority?: number;
}

/** A caller's request with its complete body. */
export interface ForwardedRequest {
  readonly id: string;
  readonly method: string;
  /** Path with query string. */
  readonly path: string;
  readonly host: string;
  readonly headers: HeaderList;
  readonly body: Buffer;
  /** Client account that sent the request; its name is empty on a public route. @default there are no accounts */
  readonly account?: ForwardingAccount;
  /** Whether a finished text of a batch waits for the response. @default false */
  readonly scoring?: boolean;
  /** Started when the request arrived. */
  readonly sinceArrival: Stopwatch;
  /** Time allowed by the caller and the route, counted from the arrival, in ms. */
  readonly budgetMs: number;
  /** Number of the last event that the caller already has of a stream that it resumes. @default none */
  readonly resumeAfter?: number;
}

/** Outcome of a request. `not-run`: no worker has executed it or will execute it. */
export type ForwardOutcome =
  | {
      readonly kind: 'answer';
      readonly statusCode: number;
      readonly headers: HeaderList;
      readonly body: Buffer;
      readonly stamp: string | undefined;
      /** Number of workers that reported that the request itself failed, including this response if it says so. */
      readonly failures: number;
    }
  | {
      readonly kind: 'not-run';
      readonly reason: string;
      /** When a worker is expected to have room, in ms; absent when that is not known. */
      readonly retryAfterMs?: number;
    }
  | { readonly kind: 'failed' | 'timeout'; readonly reason: string };

/** A worker's complete response. */
export type ResponseOutcome = Extract<ForwardOutcome, { kind: 'answer' }>;

/**
 * Outcome of a request on a streaming route. `streamed`: the caller has every event. `interrupted`: the stream began
 * and cannot be completed, so the caller must not see it end as complete.
 */
export type StreamOutcome =
  | ForwardOutcome
  | { readonly kind: 'streamed'; readonly events: number }
  | { readonly kind: 'interrupted'; readonly reason: string };

/** The caller's side of a stream. */
export interface StreamSink {
  /** Sends the head of the response. */
  start(statusCode: number, headers: HeaderList): void;
  /**
   * Sends bytes, one per character, and waits while the caller reads slowly.
   *
   * @throws Error when the caller has left
   */
  write(bytes: string): Promise<void>;
}
