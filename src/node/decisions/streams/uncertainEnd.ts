/**
 * Decides whether a stream without a length is complete. Such a stream ends with its connection, and so does one whose
 * worker crashes. It counts as complete when two attempts in a row have ended at the same event.
 */
export class UncertainEnd {
  #lastEvent: number | undefined;

  /**
   * Records that an attempt ended with its connection.
   *
   * @param lastEvent - number of the last event of the stream so far; 0 if there is none
   * @returns whether the stream is complete; never before its first event
   */
  confirm(lastEvent: number): boolean {
    const isConfirmed = lastEvent > 0 && this.#lastEvent === lastEvent;
    this.#lastEvent = lastEvent;
    return isConfirmed;
  }
}
