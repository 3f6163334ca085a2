import { type Clock, Stopwatch } from '../../shared/clock.ts';
import type { Logger } from '../observability/logger.ts';
import type { Metrics } from '../observability/metrics.ts';
import type { CallBudget } from '../platform/callBudget.ts';
import { MAX_CALL_TRANSIT_MS } from './constants.ts';
import type {
  ControlCalls,
  DutyName,
  HolderCredentials,
  UsageReport,
  UsageReportResult,
  WorkerOrder,
  WorkerOrderResult,
} from './controlCalls.ts';

export interface GuardedControlCallsOptions {
  readonly duty: DutyName;
  readonly calls: ControlCalls;
  readonly credentials: HolderCredentials;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Pick<Metrics, 'dutyCalls'>;
  readonly budget: CallBudget;
  /** Whether a call may be sent at this moment. */
  readonly maySend: () => boolean;
  /** Reads the record of the duty. Returns false also when the platform does not respond. */
  readonly isStillHolder: () => Promise<boolean>;
  /** Called when the control API has seen a higher term. */
  readonly onFenced: () => void;
}

/** Sends calls only while the holder is proven, within the call budget, and keeps what is known about their results. */
export class GuardedControlCalls implements ControlCalls {
  readonly #options: GuardedControlCallsOptions;

  #last: { readonly result: string; readonly at: Stopwatch } | undefined;

  /** Started when the last call without a response was sent. */
  #unansweredSince: Stopwatch | undefined;

  readonly #inFlight = new Set<Promise<unknown>>();

  constructor(options: GuardedControlCallsOptions) {
    this.#options = options;
  }

  /** The last call; undefined if there was none. */
  get last(): { readonly result: string; readonly ageMs: number } | undefined {
    return this.#last && { result: this.#last.result, ageMs: this.#last.at.elapsedMs() };
  }

  /** Whether a call that was sent may still be executed. */
  get mayExecuteLater(): boolean {
    if (this.#inFlight.size > 0) return true;
    return (this.#unansweredSince?.minElapsedMs() ?? Infinity) < MAX_CALL_TRANSIT_MS;
  }

  /** Resolves when the calls in progress have ended. */
  async settled(): Promise<void> {
    await Promise.allSettled(this.#inFlight);
  }

  reportUsage(report: Omit<UsageReport, keyof HolderCredentials>): Promise<UsageReportResult> {
    const { calls, credentials } = this.#options;
    return this.#send('report-usage', () => calls.reportUsage({ ...report, ...credentials }));
  }

  orderWorkers(order: Omit<WorkerOrder, keyof HolderCredentials>): Promise<WorkerOrderResult> {
    const { calls, credentials } = this.#options;
    return this.#send('order-workers', async () => {
      const result = await calls.orderWorkers({ ...order, ...credentials });
      return result === 'fenced' ? this.#explainConflict() : result;
    });
  }

  /**
   * The control API responds with the same status to a later term and to an order for which it has no workers. A later
   * term was written to the record before its holder could make a call.
   */
  async #explainConflict(): Promise<'fenced' | 'none-available'> {
    return (await this.#options.isStillHolder()) ? 'none-available' : 'fenced';
  }

  async #send<T extends WorkerOrderResult>(
    call: string,
    send: () => Promise<T>,
  ): Promise<T | 'refused'> {
    const { duty, credentials, clock, logger, metrics, budget, maySend, onFenced } = this.#options;
    const { fencing } = credentials;
    if (!maySend() || budget.available < 1) {
      const reason = maySend() ? 'call budget used up' : 'the holder is not proven';
      logger.warn('duty-call-withheld', { duty, call, fencing, reason });
      return 'refused';
    }
    budget.reserve();
    const at = new Stopwatch(clock);
    const sending = send();
    this.#inFlight.add(sending);
    let result: T;
    try {
      result = await sending;
    } finally {
      this.#inFlight.delete(sending);
    }
    if (result === 'unknown') this.#unansweredSince = at;
    this.#last = { result, at };
    metrics.dutyCalls.inc({ duty, call, result });
    const tookMs = Math.round(at.elapsedMs());
    logger.info('duty-call', { duty, call, fencing, result, tookMs });
    if (result === 'fenced') onFenced();
    return result;
  }
}
