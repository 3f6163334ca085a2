import { type Clock, Stopwatch } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import type { EventVerdict } from '../decisions/itemText.ts';
import type { RegisteredWorker } from '../gateway/workerRegistry.ts';
import type { LogFields } from '../observability/logger.ts';
import { WorkerCallError } from '../dataPath/workerHttp.ts';
import type { ItemState } from './itemState.ts';
import { ITEM_RANK } from './constants.ts';
import type { GenerationCalls, GenerationEnd } from './generationCalls.ts';

/** Why a run was ended before the worker ended it. */
export type StopReason = 'stalled' | 'slow-worker' | 'batch-ended' | 'released' | 'wrong-version';

/** How a run ended. */
export type RunEnd =
  | GenerationEnd
  | { readonly kind: 'stopped'; readonly reason: StopReason }
  | { readonly kind: 'broken'; readonly notConnected: boolean; readonly reason: string };

export interface ItemRunOptions {
  readonly clock: Clock;
  readonly calls: GenerationCalls;
  readonly state: ItemState;
  readonly worker: RegisteredWorker;
  /** The answer begins under this version. */
  readonly onVersion: (version: number) => void;
  /** Time since the event before, in ms. */
  readonly onGap: (gapMs: number) => void;
}

/** One run of an item on one worker. It adds to the item's text and continues where that ends. */
export class ItemRun {
  readonly state: ItemState;

  readonly worker: RegisteredWorker;

  readonly #options: ItemRunOptions;

  readonly #abort = new AbortController();

  readonly #started: Stopwatch;

  /** Monotonic time of the last sign of progress, in ms. */
  #progressMs: number;

  #events = 0;

  #stopped: StopReason | undefined;

  constructor(options: ItemRunOptions) {
    this.#options = options;
    this.state = options.state;
    this.worker = options.worker;
    this.#started = new Stopwatch(options.clock);
    this.#progressMs = options.clock.monotonicMs();
  }

  /** Events that this run has added. */
  get events(): number {
    return this.#events;
  }

  get elapsedMs(): number {
    return this.#started.elapsedMs();
  }

  /** Time without progress, in ms. */
  silentMs(nowMs: number): number {
    return nowMs - this.#progressMs;
  }

  /** Ends the run; the worker drops it. */
  stop(reason: StopReason): void {
    this.#stopped ??= reason;
    this.#abort.abort();
  }

  /** Runs to the end. Does not throw. */
  async finish(): Promise<RunEnd> {
    const { calls, onVersion } = this.#options;
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
          body: Buffer.from(item.body),
          resumeAfter,
          rank: ITEM_RANK,
        },
        {
          onHead: (version) => {
            this.#progress();
            onVersion(version);
            if (!text.allows(version)) this.stop('wrong-version');
          },
          onEvent: (event) => this.#judge(text.accept(event)),
        },
        this.#abort.signal,
      );
      return this.#stopped === undefined ? end : { kind: 'stopped', reason: this.#stopped };
    } catch (error) {
      if (this.#stopped !== undefined) return { kind: 'stopped', reason: this.#stopped };
      const notConnected = error instanceof WorkerCallError && error.notConnected;
      return { kind: 'broken', notConnected, reason: messageOf(error) };
    }
  }

  #judge(verdict: EventVerdict): void {
    if (this.#stopped !== undefined) return;
    if (verdict === 'taken') {
      this.#events += 1;
      const gapMs = this.#progress();
      if (this.#events > 1) this.#options.onGap(gapMs);
    } else if (verdict === 'wrong-version') {
      this.stop('wrong-version');
    } else if (verdict === 'gap') {
      throw new WorkerCallError('events are missing from the stream');
    }
  }

  #progress(): number {
    const nowMs = this.#options.clock.monotonicMs();
    const gapMs = nowMs - this.#progressMs;
    this.#progressMs = nowMs;
    return gapMs;
  }
}

/**
 * A run as it is logged.
 *
 * @param begun - events of the item before the run
 */
export const describeRun = (
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
