import { BaseError } from '../../../shared/errors.ts';

/** An attempt's bytes do not continue the event stream. Nothing of the offending event was accepted. */
export const EventStreamError = BaseError.subclass('EventStreamError');

/** End of an event in a stream of server-sent events: an empty line. */
const EVENT_END = /\n\r?\n/g;

const ID_FIELD = /^id: ?(\d+)\r?$/m;

const COMMENTS_ONLY = /^(?::[^\n]*\n|\r?\n)*$/;

export interface EventStreamJoinOptions {
  /** Number of the last event that the caller already has; 0 if it has none. */
  readonly lastEventId: number;
  /** Name of the field by which an event tells that the weight version changes at it. */
  readonly versionField: string;
  /** Largest event, in bytes; a stream that sends more without completing an event is broken. */
  readonly maxEventBytes: number;
}

/**
 * Joins the event streams of successive attempts into one. Passes on complete events only, in the bytes in which they
 * arrived, and checks that their numbers leave no gap. Strings hold one byte per character (latin1).
 */
export class EventStreamJoin {
  readonly #versionField: string;

  readonly #versionLine: RegExp;

  readonly #maxEventBytes: number;

  #lastEventId: number;

  /** Bytes of the current attempt after its last complete event. */
  #partial = '';

  /** Weight version of the last event that was passed on. */
  #version: number | undefined;

  /** Weight version of the current attempt at its next event. */
  #attemptVersion: number | undefined;

  constructor({ lastEventId, versionField, maxEventBytes }: EventStreamJoinOptions) {
    this.#maxEventBytes = maxEventBytes;
    this.#lastEventId = lastEventId;
    this.#versionField = versionField;
    this.#versionLine = new RegExp(`^${versionField}: ?(\\d+)\\r?$`, 'm');
  }

  /** Number of the last event passed on. The next attempt continues after it. */
  get lastEventId(): number {
    return this.#lastEventId;
  }

  /** Starts the next attempt and drops the incomplete event of the previous one. */
  startAttempt(version: number | undefined): void {
    this.#partial = '';
    this.#attemptVersion = version;
    // The head of the first attempt tells the caller the version of its first event.
    this.#version ??= version;
  }

  /**
   * Accepts bytes of the current attempt.
   *
   * @returns the complete events to pass on; empty when there are none yet
   * @throws EventStreamError if an event is missing, is too large or has no number
   */
  feed(bytes: string): string {
    // The end of an event may straddle two chunks, so the search starts shortly before the new bytes.
    const searchFrom = Math.max(0, this.#partial.length - 2);
    this.#partial += bytes;
    EVENT_END.lastIndex = searchFrom;
    let start = 0;
    let accepted = '';
    for (let end = EVENT_END.exec(this.#partial); end; end = EVENT_END.exec(this.#partial)) {
      accepted += this.#accept(this.#partial.slice(start, EVENT_END.lastIndex));
      start = EVENT_END.lastIndex;
    }
    this.#partial = this.#partial.slice(start);
    if (this.#partial.length > this.#maxEventBytes) {
      throw new EventStreamError(`an event is larger than ${this.#maxEventBytes} bytes`);
    }
    return accepted;
  }

  /** Ends the current attempt. @throws EventStreamError if it stopped in the middle of an event */
  end(): void {
    if (!COMMENTS_ONLY.test(this.#partial)) {
      throw new EventStreamError('the stream ended in the middle of an event');
    }
  }

  /** @returns the event as passed on; empty if the caller already has it */
  #accept(event: string): string {
    if (COMMENTS_ONLY.test(event)) return event;
    const id = Number(ID_FIELD.exec(event)?.[1] ?? NaN);
    if (Number.isNaN(id)) throw new EventStreamError('an event has no number');
    const versionText = this.#versionLine.exec(event)?.[1];
    if (versionText !== undefined) this.#attemptVersion = Number(versionText);
    if (id <= this.#lastEventId) return '';
    if (id !== this.#lastEventId + 1) {
      throw new EventStreamError(`event ${this.#lastEventId + 1} is missing before event ${id}`);
    }
    this.#lastEventId = id;
    const changed = this.#attemptVersion !== this.#version && versionText === undefined;
    this.#version = this.#attemptVersion;
    return changed && this.#version !== undefined
      ? `${this.#versionField}: ${this.#version}\n${event}`
      : event;
  }
}
