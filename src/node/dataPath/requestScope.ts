import type { ServerResponse } from 'node:http';
import type { Clock } from '../../shared/clock.ts';

/** Cancels all work on a request when its timeout expires or its caller disconnects. */
export class RequestScope implements Disposable {
  readonly #abort = new AbortController();

  readonly #timer: Disposable;

  readonly #response: ServerResponse;

  #endedBy: 'timeout' | 'caller-gone' | undefined;

  /** @param timeoutMs - timeout of the request, in ms */
  constructor(clock: Clock, timeoutMs: number, response: ServerResponse) {
    this.#response = response;
    this.#timer = clock.schedule(timeoutMs, () => this.#end('timeout'));
    response.once('close', this.#onClose);
  }

  /** Why the work was cancelled; undefined while it was not. */
  get endedBy(): 'timeout' | 'caller-gone' | undefined {
    // The `close` event is emitted some time after the connection is destroyed.
    if (this.#response.destroyed && !this.#response.writableFinished) this.#end('caller-gone');
    return this.#endedBy;
  }

  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  [Symbol.dispose](): void {
    this.#timer[Symbol.dispose]();
    this.#response.off('close', this.#onClose);
  }

  readonly #onClose = () => {
    if (!this.#response.writableFinished) this.#end('caller-gone');
  };

  #end(reason: 'timeout' | 'caller-gone'): void {
    if (this.#endedBy !== undefined) return;
    this.#endedBy = reason;
    this.#abort.abort();
  }
}
