import type { GenerationEvent } from '../decisions/itemText.ts';
import type { DispatchedRequest, WorkerLoad } from '../gateway/workerCalls.ts';
import type { RegisteredWorker } from '../gateway/workerRegistry.ts';

/** How a generation ended when its worker said so. */
export type GenerationEnd =
  /** The text is whole. */
  | { readonly kind: 'complete' }
  /** The stream ended in a way that a broken one may end, too: the text may be whole. */
  | { readonly kind: 'uncertain' }
  /** The worker did not run the request. `misdirected`: it is another worker, or has another weight version. */
  | { readonly kind: 'not-run'; readonly misdirected: boolean }
  /** The worker ran the request, and it failed. */
  | { readonly kind: 'failed'; readonly statusCode: number };

/** What a generation tells while it runs. */
export interface GenerationListener {
  /** The answer begins, under this weight version. */
  onHead(version: number, load: WorkerLoad | undefined): void;
  onEvent(event: GenerationEvent): void;
}

/** Runs generations on model engines. */
export interface GenerationCalls {
  /**
   * Runs one generation to its end. Ending `signal` makes the worker drop it.
   *
   * @throws WorkerCallError when the stream broke
   */
  generate(
    worker: Pick<RegisteredWorker, 'id' | 'address'>,
    request: DispatchedRequest,
    listener: GenerationListener,
    signal: AbortSignal,
  ): Promise<GenerationEnd>;
}
