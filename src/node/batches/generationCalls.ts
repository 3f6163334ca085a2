import type { GenerationEvent } from '../decisions/items/itemText.ts';
import type { CalledWorker, DispatchedRequest, WorkerLoad } from '../gateway/workerCalls.ts';

/** Outcome of a generation, as reported by its worker. */
export type GenerationEnd =
  /** The text is complete. */
  | { readonly kind: 'complete' }
  /** The stream ended as a broken one may end, too, so the text may be complete or cut off. */
  | { readonly kind: 'uncertain' }
  /** The worker did not run the request. `misdirected`: it is a different worker, or has another weight version. */
  | { readonly kind: 'not-run'; readonly misdirected: boolean }
  /** The worker ran the request and it failed. */
  | { readonly kind: 'failed'; readonly statusCode: number };

/** Receives the progress of a generation while it runs. */
export interface GenerationListener {
  /** Called when the response starts, with the weight version that generates it. */
  onResponseStart(version: number, load: WorkerLoad | undefined): void;
  onEvent(event: GenerationEvent): void;
}

/** Runs generations on model engines. */
export interface GenerationCalls {
  /**
   * Runs one generation to its end. Aborting `signal` makes the worker drop it.
   *
   * @throws WorkerCallError when the stream breaks
   */
  generate(
    worker: CalledWorker,
    request: DispatchedRequest,
    listener: GenerationListener,
    signal: AbortSignal,
  ): Promise<GenerationEnd>;
}
