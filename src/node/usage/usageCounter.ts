import { type Clock, Stopwatch } from '../../shared/clock.ts';
import type { AgreedClock } from '../decisions/usage/agreedClock.ts';
import { UsageCounts } from '../decisions/usage/usageCounts.ts';
import { WorkTimes } from '../decisions/usage/workTimes.ts';
import type { ForwardedRequest } from '../gateway/forwardedRequest.ts';

export interface UsageCounterOptions {
  readonly clock: Clock;
  readonly agreedClock: Pick<AgreedClock, 'nowMs'>;
  /** Length of a window, in ms. */
  readonly windowMs: number;
  /** Called for a request that could not be counted. */
  readonly onDropped: (account: string) => void;
}

/** An attempt at a worker whose request may still have to be counted. */
export interface CountedAttempt extends Disposable {
  /**
   * Counts the request, unless an earlier attempt has counted it.
   *
   * @param waiting - requests that the worker reported as waiting; undefined where it reports no load
   */
  began(waiting?: number): void;
}

const UNCOUNTED: CountedAttempt = { began() {}, [Symbol.dispose]() {} };

/** Counts the callers' requests that began to run at workers of this node, each once. */
export class UsageCounter {
  readonly counts: UsageCounts;

  readonly #options: UsageCounterOptions;

  readonly #workTimes = new WorkTimes();

  /** Attempts that may still be counted, as long as they run. */
  readonly #pending = new Set<Stopwatch>();

  readonly #counted = new WeakSet<ForwardedRequest>();

  constructor(options: UsageCounterOptions) {
    this.#options = options;
    this.counts = new UsageCounts(options.windowMs, options.agreedClock.nowMs());
  }

  /** Wall-clock time before which nothing is counted any more, in ms since the Unix epoch. */
  get completeUntilMs(): number {
    let oldestMs = 0;
    for (const pending of this.#pending) oldestMs = Math.max(oldestMs, pending.elapsedMs());
    return this.#options.agreedClock.nowMs() - oldestMs;
  }

  /** Records that a request is sent to a worker. To be disposed when the attempt has ended. */
  startAttempt(request: ForwardedRequest, route: string): CountedAttempt {
    const { clock, agreedClock, onDropped } = this.#options;
    const { account } = request;
    if (account === undefined || this.#counted.has(request)) return UNCOUNTED;
    const sent = new Stopwatch(clock);
    this.#pending.add(sent);
    return {
      began: (waiting) => {
        this.#pending.delete(sent);
        const tookMs = sent.minElapsedMs();
        this.#workTimes.observe(route, tookMs, waiting);
        if (this.#counted.has(request)) return;
        this.#counted.add(request);
        const beganAtMs = agreedClock.nowMs() - this.#workTimes.sinceBeginMs(route, tookMs);
        if (this.counts.add(account.name, beganAtMs) === 'dropped') onDropped(account.name);
      },
      [Symbol.dispose]: () => {
        this.#pending.delete(sent);
      },
    };
  }
}
