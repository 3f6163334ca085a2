import type { IncomingMessage } from 'node:http';
import type { RegisteredWorker } from './workerRegistry.ts';

/** Header names in lower case with their values, in the order in which they came. */
export type HeaderList = readonly (readonly [name: string, value: string])[];

/** One request to one worker. */
export interface DispatchedRequest {
  readonly requestId: string;
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly host: string;
  /** Headers that are passed on as the caller sent them. */
  readonly headers: HeaderList;
  readonly body: Buffer;
  /** Time that the caller still waits, in ms; the worker stops at its end. Absent: no limit. */
  readonly remainingMs?: number;
  /** Weight version that the worker must have; otherwise it does not run the request. */
  readonly expectVersion?: number;
  /** Number of the last event that is known; the worker continues after it. */
  readonly resumeAfter?: number;
  /** Rank at the worker from 0, the most urgent, to 9. @default 5 */
  readonly rank?: number;
  /** Opens a new connection instead of using a kept one. @default false */
  readonly newConnection?: boolean;
}

/** Load of a worker by its own word. */
export interface WorkerLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** Head of a worker's answer. */
export interface WorkerAnswer {
  readonly statusCode: number;
  /** Headers that are passed on to the caller. */
  readonly headers: HeaderList;
  /** The worker says that it did not run the request and will not. */
  readonly notRun: boolean;
  /** The answer carries the worker's proof that it made it. */
  readonly stamp: string | undefined;
  readonly load: WorkerLoad | undefined;
  /** Weight version with which the answer begins. */
  readonly weightVersion: number | undefined;
  readonly body: IncomingMessage;
}

/** Sends requests to workers. */
export interface WorkerCalls {
  /**
   * Resolves with the head of the answer.
   *
   * @throws WorkerCallError when there is none, or one that belongs to another request
   */
  send(
    worker: Pick<RegisteredWorker, 'id' | 'address'>,
    request: DispatchedRequest,
    signal: AbortSignal,
  ): Promise<WorkerAnswer>;
}
