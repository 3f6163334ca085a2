import type http from 'node:http';

/** Counts the requests in progress on the servers of a node. */
export class RequestTracker {
  #inFlight = 0;

  #listener: (() => void) | undefined;

  /** Whether each answer asks its client to open a new connection next time, which moves callers off a leaving node. */
  closeAfterAnswer = false;

  get inFlight(): number {
    return this.#inFlight;
  }

  /** Sets who is told after a request ended. */
  onChange(listener: () => void): void {
    this.#listener = listener;
  }

  /** Counts a request until its answer is complete or its connection closes. */
  track(response: http.ServerResponse): void {
    this.#inFlight += 1;
    if (this.closeAfterAnswer) response.setHeader('connection', 'close');
    response.once('close', () => {
      this.#inFlight -= 1;
      this.#listener?.();
    });
  }
}
