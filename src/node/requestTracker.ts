import type http from 'node:http';

/** Counts the requests in progress on the servers of a node. */
export class RequestTracker {
  #inFlight = 0;

  #listener: (() => void) | undefined;

  /** Whether responses carry `connection: close`, which makes the callers of a leaving node reconnect elsewhere. */
  closeAfterResponse = false;

  get inFlight(): number {
    return this.#inFlight;
  }

  /** Sets the function that is called after each request has ended. */
  onRequestEnd(listener: () => void): void {
    this.#listener = listener;
  }

  /** Counts a request until its response is complete or its connection closes. */
  track(response: http.ServerResponse): void {
    this.#inFlight += 1;
    if (this.closeAfterResponse) response.setHeader('connection', 'close');
    response.once('close', () => {
      this.#inFlight -= 1;
      this.#listener?.();
    });
  }
}
