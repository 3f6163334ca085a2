import type { EventStreamJoin } from '../decisions/streams/eventStreamJoin.ts';
import { UncertainEnd } from '../decisions/streams/uncertainEnd.ts';
import { STREAM_STALL_MS } from './constants.ts';
import type { StreamSink } from './forwardedRequest.ts';
import type { StallTimer } from './stallTimer.ts';
import type { WorkerResponse } from './workerCalls.ts';

/** Whether a worker's response is a stream of events. */
export const isEventStream = ({ statusCode, stamp, body }: WorkerResponse): boolean =>
  statusCode === 200 &&
  stamp !== undefined &&
  String(body.headers['content-type'] ?? '').startsWith('text/event-stream');

/** Whether the end of a response can be told from a lost connection, which ends a response without length as well. */
const isSelfDelimiting = ({ body: { headers } }: WorkerResponse): boolean =>
  headers['transfer-encoding'] !== undefined || headers['content-length'] !== undefined;

/** Passes the events of successive attempts on to one caller, with the head of the first attempt that has an event. */
export class StreamRelay {
  readonly #sink: StreamSink;

  readonly #join: EventStreamJoin;

  readonly #end = new UncertainEnd();

  #started = false;

  constructor(sink: StreamSink, join: EventStreamJoin) {
    this.#sink = sink;
    this.#join = join;
  }

  /** Whether the head of the response has been sent to the caller. */
  get started(): boolean {
    return this.#started;
  }

  /** Number of the last event that the caller has. */
  get lastEventId(): number {
    return this.#join.lastEventId;
  }

  /**
   * Passes on the events of one attempt.
   *
   * @param onEvent - called when events have arrived
   * @returns `uncertain`: the stream may have been cut off, because the response had no length; `empty`: so had a response
   *   without events
   * @throws Error when the stream breaks off or does not continue what the caller has, or when the caller has left
   */
  async relay(
    response: WorkerResponse,
    stall: StallTimer | undefined,
    onEvent?: () => void,
  ): Promise<'complete' | 'uncertain' | 'empty'> {
    const { body, weightVersion } = response;
    const before = this.lastEventId;
    this.#join.startAttempt(weightVersion);
    body.setEncoding('latin1');
    try {
      for await (const chunk of body as AsyncIterable<string>) {
        stall?.stop();
        const events = this.#join.feed(chunk);
        if (events !== '') {
          onEvent?.();
          await this.#send(response, events);
        }
        stall?.wait(STREAM_STALL_MS);
      }
      if (!body.complete) throw new Error('the event stream was truncated');
      this.#join.end();
    } catch (error) {
      body.destroy();
      throw error;
    }
    if (isSelfDelimiting(response)) return 'complete';
    const isEmpty = this.lastEventId === before;
    // A stream that is resumed after its last event has no weight version in its head.
    if (isEmpty && before > 0 && weightVersion === undefined) return 'complete';
    if (this.#end.confirm(this.lastEventId)) return 'complete';
    return isEmpty ? 'empty' : 'uncertain';
  }

  /** Sends the head of a response without events, unless one has been sent. */
  finish({ statusCode, headers }: WorkerResponse): void {
    if (!this.#started) this.#sink.start(statusCode, headers);
    this.#started = true;
  }

  async #send(response: WorkerResponse, events: string): Promise<void> {
    this.finish(response);
    await this.#sink.write(events);
  }
}
