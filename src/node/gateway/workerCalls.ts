import type { IncomingMessage } from 'node:http';
import type { RegisteredWorker } from './workerRegistry.ts';

/** One start of a worker that requests are sent to. */
export type CalledWorker = Pick<RegisteredWorker, 'id' | 'address' | 'startedAtMs'>;

/** Lower-case header names with their values, in the order received. */
export type HeaderList = readonly (readonly [name: string, value: string])[];

/** One request to one worker. */
export interface DispatchedRequest {
  readonly requestId: string;
  readonly method: string;
  /** Path with query string. */
  readonly path: string;
  readonly host: string;
  /** Headers that are forwarded as the caller sent them. */
  readonly headers: HeaderList;
  readonly body: Buffer;
  /** Called once nothing reads the body any more; not where the call fails. */
  readonly onBodySent?: () => void;
  /**
   * Name of the client account on whose behalf the request runs; empty: no name is sent.
   *
   * @default what the caller sent is forwarded
   */
  readonly account?: string;
  /** Remaining time budget of the caller, in ms; the worker stops when it is used up. Absent: no limit. */
  readonly remainingMs?: number;
  /** Weight version that the worker must have loaded; otherwise it does not execute the request. */
  readonly expectVersion?: number;
  /** Number of the last event received; the worker resumes the stream after it. */
  readonly resumeAfter?: number;
  /** Priority on the worker, from 0 (most urgent) to 9. @default 5 */
  readonly priority?: number;
  /** Opens a new connection instead of reusing a kept-alive one. @default false */
  readonly newConnection?: boolean;
}

/** Load as reported by the worker itself. */
export interface WorkerLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes on the worker's VM at the moment, in percent of the usual time. @default 100 */
  readonly pacePercent?: number;
}

/** Status, headers and unread body of a worker's response. */
export interface WorkerResponse {
  readonly statusCode: number;
  /** Headers that are forwarded to the caller. */
  readonly headers: HeaderList;
  /** Whether the worker states that it has not executed the request and will not. */
  readonly notRun: boolean;
  /** Stamp by which the worker proves that it produced the response. */
  readonly stamp: string | undefined;
  readonly load: WorkerLoad | undefined;
  /** Weight version in use at the start of the response. */
  readonly weightVersion: number | undefined;
  readonly body: IncomingMessage;
}

/** Client that sends requests to workers. */
export interface WorkerCalls {
  /**
   * Resolves once the response headers have arrived.
   *
   * @throws WorkerCallError when there is no response, or it belongs to another request
   */
  send(
    worker: CalledWorker,
    request: DispatchedRequest,
    signal: AbortSignal,
  ): Promise<WorkerResponse>;
}
