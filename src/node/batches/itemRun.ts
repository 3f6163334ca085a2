import { type Clock, sleep, Stopwatch } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import type { EventOutcome } from '../decisions/items/itemText.ts';
import type { RegisteredWorker } from '../gateway/workerRegistry.ts';
import type { LogFields } from '../observability/logger.ts';
import { WorkerCallError } from '../dataPath/workerHttpClient.ts';
import type { HeldBody } from './contents/itemBodies.ts';
import type { ItemState } from './itemState.ts';
import { BODY_RETRY_MS, ITEM_ENGINE_PRIORITY } from './constants.ts';
import type { GenerationCalls, GenerationEnd } from './generationCalls.ts';
import type { ObservedTime } from './observedTime.ts';

/** Time from the first event of a run in which further events count as read together with it, in ms. */
const READ_TOGETHER_MS = 1;

const viewOf = ({ buffer, byteOffset, length }: Uint8Array): Buffer =>
  Buffer.from(buffer, byteOffset, length);

/** Why the dispatcher stopped a run before its end. */
export type StopReason =
  | 'stalled'
  | 'slow-worker'
  | 'worker-leaving'
  | 'batch-ended'
  | 'batch-moved'
  | 'released'
  | 'wrong-version';

/** How a run ended. */
export type RunEnd =
  | GenerationEnd
  | { readonly kind: 'stopped'; readonly reason: StopReason }
  /** The body of the request could not be read, so that nothing was sent. */
  | { readonly kind: 'not-sent'; readonly reason: string }
  | { readonly kind: 'broken'; readonly notConnected: boolean; readonly reason: string };

/** Time and number of events from which a run is steady: its worker's speed is measured by the gaps between them. */
const MIN_STEADY_MS = 1000;
const MIN_STEADY_EVENTS = 4;

export interface ItemRunOptions {
  readonly clock: Clock;
  readonly observedTime: Pick<ObservedTime, 'nowMs'>;
  readonly calls: GenerationCalls;
  readonly state: ItemState;
  readonly worker: RegisteredWorker;
  /** Holds the large body of the item. */
  readonly acquireBody: (signal: AbortSignal) => Promise<HeldBody>;
  /** Name of the client account as sent with the item. @default what the trainer set */
  readonly account?: string;
  /** Called when the response starts, with the weight version that generates it. */
  readonly onVersion: (version: number) => void;
  /** Called with the time since the previous event, in ms. */
  readonly onGap: (gapMs: number) => void;
}

/** One run of an item on one worker. Continues from the end of the item's text and appends to it. */
export class ItemRun {
  readonly state: ItemState;

  readonly worker: RegisteredWorker;

  readonly #options: ItemRunOptions;

  readonly #abort = new AbortController();

  readonly #started: Stopwatch;

  /** Monotonic time of the last progress, in ms: the start, the response head or a new event. */
  #progressMs: number;

  /** The same in observed time. */
  #progressObservedMs: number;

  /** Monotonic time of the first event, in ms. */
  #firstEventMs = 0;

  #events = 0;

  #stopReason: StopReason | undefined;

  #isWaitingForBody = false;

  constructor(options: ItemRunOptions) {
    this.#options = options;
    this.state = options.state;
    this.worker = options.worker;
    this.#started = new Stopwatch(options.clock);
    this.#progressMs = options.clock.monotonicMs();
    this.#progressObservedMs = options.observedTime.nowMs;
  }

  /** Number of events that this run has added to the text. */
  get events(): number {
    return this.#events;
  }

  /** Whether its worker has generated for some time. */
  get isSteady(): boolean {
    return this.#events >= MIN_STEADY_EVENTS && this.elapsedMs >= MIN_STEADY_MS;
  }

  /** Whether the run has been stopped and will end. */
  get isStopped(): boolean {
    return this.#stopReason !== undefined;
  }

  get elapsedMs(): number {
    return this.#started.elapsedMs();
  }

  /** Time since the last progress in which this process ran, in ms. */
  get silentMs(): number {
    if (this.#isWaitingForBody) return 0;
    return this.#options.observedTime.nowMs - this.#progressObservedMs;
  }

  /** Stops the run and makes the worker drop it. Only the first reason is kept. */
  stop(reason: StopReason): void {
    this.#stopReason ??= reason;
    this.#abort.abort();
  }

  /** Runs the item until the run ends or is stopped. Does not throw. */
  async execute(): Promise<RunEnd> {
    if (!this.state.hasLargeBody) return this.#generate(undefined);
    const { clock, acquireBody } = this.#options;
    const { signal } = this.#abort;
    this.#isWaitingForBody = true;
    try {
      const body = await acquireBody(signal);
      this.#recordProgress();
      if (this.#stopReason === undefined) return await this.#generate(body);
      body[Symbol.dispose]();
    } catch (error) {
      await sleep(clock, BODY_RETRY_MS, signal);
      if (this.#stopReason === undefined) return { kind: 'not-sent', reason: messageOf(error) };
    } finally {
      this.#isWaitingForBody = false;
    }
    return { kind: 'stopped', reason: this.#stopReason };
  }

  /** @param held - the body if it is kept apart from the item */
  async #generate(held: HeldBody | undefined): Promise<RunEnd> {
    this.#isWaitingForBody = false;
    const { calls, onVersion, account } = this.#options;
    const { item, text, batch } = this.state;
    const resumeAfter = text.events.length > 0 ? text.events.length : undefined;
    try {
      const end = await calls.generate(
        this.worker,
        {
          requestId: item.id,
          method: 'POST',
          path: item.path,
          host: batch.record.host,
          headers: item.headers.map(({ name, value }) => [name.toLowerCase(), value] as const),
          body: held?.request.bytes ?? viewOf(item.body),
          onBodySent: () => held?.[Symbol.dispose](),
          account,
          resumeAfter,
          priority: ITEM_ENGINE_PRIORITY,
        },
        {
          onResponseStart: (version) => {
            this.#recordProgress();
            onVersion(version);
            if (!text.allows(version)) this.stop('wrong-version');
          },
          onEvent: (event) => {
            // An event carries at least one token, so more events belong to no run of this item.
            if (item.maxOutputTokens > 0 && event.number > item.maxOutputTokens) {
              throw new WorkerCallError(
                `more events than the ${item.maxOutputTokens} output tokens of the item`,
              );
            }
            this.#handleOutcome(text.accept(event));
          },
        },
        this.#abort.signal,
      );
      return this.#stopReason === undefined ? end : { kind: 'stopped', reason: this.#stopReason };
    } catch (error) {
      // The connection is closed, or was never opened.
      held?.[Symbol.dispose]();
      if (this.#stopReason !== undefined) return { kind: 'stopped', reason: this.#stopReason };
      const notConnected = error instanceof WorkerCallError && error.notConnected;
      return { kind: 'broken', notConnected, reason: messageOf(error) };
    }
  }

  #handleOutcome(outcome: EventOutcome): void {
    if (this.#stopReason !== undefined) return;
    if (outcome === 'taken') {
      this.#events += 1;
      const gapMs = this.#recordProgress();
      if (this.#events === 1) this.#firstEventMs = this.#progressMs;
      // How long the worker took for what was read together with the first event is not known.
      if (this.#progressMs - this.#firstEventMs >= READ_TOGETHER_MS) this.#options.onGap(gapMs);
    } else if (outcome === 'wrong-version') {
      this.stop('wrong-version');
    } else if (outcome === 'gap') {
      throw new WorkerCallError('gap in the generation stream: at least one event is missing');
    }
  }

  #recordProgress(): number {
    const nowMs = this.#options.clock.monotonicMs();
    const gapMs = nowMs - this.#progressMs;
    this.#progressMs = nowMs;
    this.#progressObservedMs = this.#options.observedTime.nowMs;
    return gapMs;
  }
}

/**
 * Log fields of a run.
 *
 * @param begun - number of events of the item before the run
 */
export const runLogFields = (
  { state, worker, events, elapsedMs }: ItemRun,
  end: RunEnd,
  begun: number,
): LogFields => ({
  batch: state.batch.record.id,
  item: state.item.id,
  worker: worker.id,
  begun,
  events,
  versions: state.text.versions.join(','),
  tookMs: Math.round(elapsedMs),
  end: end.kind,
  status: end.kind === 'failed' ? end.statusCode : undefined,
  reason: 'reason' in end ? end.reason : undefined,
});
