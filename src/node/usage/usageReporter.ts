import { type Clock, Stopwatch } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import { repeatEvery } from '../../shared/repeat.ts';
import type { AgreedClock } from '../decisions/usage/agreedClock.ts';
import type { UsageLedger } from '../decisions/usage/usageLedger.ts';
import { decideWindow } from '../decisions/usage/windowDecision.ts';
import type { DutyContext } from '../duties/duty.ts';
import type { ElectionView } from '../election/holderElection.ts';
import type { Logger } from '../observability/logger.ts';
import type { Metrics } from '../observability/metrics.ts';
import type { UsageExchange } from './usageExchange.ts';
import type { UsageStore } from './usageStore.ts';

/** Interval between checks for windows to be reported, in ms. */
const CHECK_INTERVAL_MS = 250;

/** Time after the end of a window at which its stored report is removed, in ms; then no node sends it any more. */
const RETENTION_MS = 120_000;

/** First and longest delay before a report that was not accepted is repeated, in ms. Each call has a price. */
const FIRST_RETRY_MS = 500;
const MAX_RETRY_MS = 4000;

/** Time by which a report may exceed its due time and is still sent, as a multiple of the due time. */
const LATE_SEND_FACTOR = 2;

/** What this node knows about the report of a window. */
interface ReportedWindow {
  /** Counts as stored; undefined before. */
  readonly counts?: ReadonlyMap<string, number>;
  readonly state: 'open' | 'stored' | 'sent' | 'skipped';
  readonly retryMs: number;
  /** Started when the last attempt ended. */
  readonly attempted?: Stopwatch;
}

const OPEN_WINDOW: ReportedWindow = { state: 'open', retryMs: FIRST_RETRY_MS };

const sumOf = (counts: ReadonlyMap<string, number>): number =>
  [...counts.values()].reduce((sum, count) => sum + count, 0);

export interface UsageReporterOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Pick<Metrics, 'usageWindows'>;
  readonly agreedClock: Pick<AgreedClock, 'nowMs'>;
  readonly view: ElectionView;
  readonly ledger: UsageLedger;
  readonly exchange: Pick<UsageExchange, 'recall' | 'refreshOwn' | 'confirm'>;
  readonly store: UsageStore;
  /** Length of a window, in ms. */
  readonly windowMs: number;
  /** Time after the end of a window at which its report is due, in ms. */
  readonly dueMs: number;
}

/** Reports each window once while this node holds the duty: stores the counts, then sends what is stored. */
export class UsageReporter implements Disposable {
  readonly #options: UsageReporterOptions;

  readonly #context: DutyContext;

  readonly #windows = new Map<number, ReportedWindow>();

  readonly #timer: Disposable;

  #confirmedWindow = 0;

  /** Whether the stored reports and the counts of other nodes are known. */
  #isReady = false;

  constructor(options: UsageReporterOptions, context: DutyContext) {
    this.#options = options;
    this.#context = context;
    this.#timer = repeatEvery(options.clock, CHECK_INTERVAL_MS, () => this.#check(), 0);
  }

  /** State of a window; undefined if it is not known here. */
  stateOf(window: number): ReportedWindow['state'] | undefined {
    return this.#windows.get(window)?.state;
  }

  [Symbol.dispose](): void {
    this.#timer[Symbol.dispose]();
  }

  async #check(): Promise<void> {
    const { logger } = this.#options;
    if (!this.#context.mayCall() || this.#context.signal.aborted) return;
    try {
      if (!this.#isReady) await this.#prepare();
      await this.#reportWindows();
      this.#confirm();
      await this.#removeExpired();
    } catch (error) {
      logger.info('usage-check-failed', { message: messageOf(error) });
    }
  }

  /** Learns what earlier holders have stored, and what other nodes have counted. */
  async #prepare(): Promise<void> {
    const { exchange, store, logger, dueMs } = this.#options;
    const [stored, answers] = await Promise.all([store.list(), exchange.recall()]);
    let repeated = 0;
    for (const [window, counts] of stored) {
      // The earlier holder may have sent the latest ones or not; an exact repeat is ignored.
      const isDone = this.#sinceEndMs(window) > LATE_SEND_FACTOR * dueMs;
      if (!isDone) repeated += 1;
      const state = isDone ? 'sent' : 'stored';
      this.#windows.set(window, { ...OPEN_WINDOW, counts, state });
    }
    this.#isReady = true;
    const { fencing } = this.#context;
    logger.info('usage-taken-over', { fencing, stored: stored.size, repeated, answers });
  }

  #sinceEndMs(window: number): number {
    const { agreedClock, windowMs } = this.#options;
    return agreedClock.nowMs() - (window + 1) * windowMs;
  }

  /** Windows that may have to be reported: those in time first, then those that are late. */
  #dueWindows(): number[] {
    const { agreedClock, windowMs, dueMs } = this.#options;
    const current = Math.floor(agreedClock.nowMs() / windowMs);
    const count = Math.ceil((LATE_SEND_FACTOR * dueMs) / windowMs);
    const windows = Array.from({ length: count }, (_, index) => current - count + index);
    const isLate = (window: number) => Number(this.#sinceEndMs(window) > dueMs);
    return windows.sort((left, right) => isLate(left) - isLate(right) || left - right);
  }

  async #reportWindows(): Promise<void> {
    this.#options.exchange.refreshOwn();
    for (const window of this.#dueWindows()) {
      if (this.#context.signal.aborted) return;
      const { state, attempted, retryMs, counts } = this.#windows.get(window) ?? OPEN_WINDOW;
      const isDone = state === 'sent' || state === 'skipped';
      if (isDone || (attempted?.elapsedMs() ?? Infinity) < retryMs) continue;
      const stored = counts ?? (await this.#store(window));
      if (stored !== undefined) await this.#send(window, stored);
    }
  }

  #update(window: number, changes: Partial<ReportedWindow>): void {
    this.#windows.set(window, { ...(this.#windows.get(window) ?? OPEN_WINDOW), ...changes });
  }

  /** Delays the next attempt at a window. */
  #postpone(window: number): void {
    const { attempted, retryMs } = this.#windows.get(window) ?? OPEN_WINDOW;
    this.#update(window, {
      attempted: new Stopwatch(this.#options.clock),
      retryMs: attempted === undefined ? retryMs : Math.min(MAX_RETRY_MS, 2 * retryMs),
    });
  }

  /**
   * Decides on a window without a stored report, and stores it when it is time.
   *
   * @returns the stored counts; undefined when there are none yet
   */
  async #store(window: number): Promise<ReadonlyMap<string, number> | undefined> {
    const { ledger, view, windowMs, logger, metrics, store } = this.#options;
    const sinceEndMs = this.#sinceEndMs(window);
    const peers = view.peers();
    const incarnationsOf = (suspected: boolean) =>
      peers
        .filter((peer) => peer.suspected === suspected)
        .map(({ identity }) => identity.incarnation);
    const incomplete = ledger.incompleteNodes(
      window,
      (window + 1) * windowMs,
      [view.self.incarnation, ...incarnationsOf(false)],
      incarnationsOf(true),
    );
    // Before the first holder of all there was no node that could have counted anything.
    const isFirstHolder = this.#context.fencing === 1;
    const covered = ledger.covers(window) || (isFirstHolder && ledger.windows().includes(window));
    const action = decideWindow({ sinceEndMs, incompleteNodes: incomplete.length, covered });
    if (action === 'wait') return undefined;
    const fields = { window, sinceEndMs: Math.round(sinceEndMs), missingNodes: incomplete.length };
    if (action === 'skip') {
      logger.warn('usage-window-skipped', { ...fields, reason: 'less than half of it was seen' });
      metrics.usageWindows.inc({ outcome: 'skipped' });
      this.#update(window, { state: 'skipped' });
      return undefined;
    }
    // A node that was replaced without noticing must not decide on the counts.
    if (!(await this.#context.verify())) {
      this.#postpone(window);
      return undefined;
    }
    const { counts, droppedAccounts } = ledger.totalOf(window);
    if (droppedAccounts > 0) logger.warn('usage-accounts-dropped', { window, droppedAccounts });
    const stored = await store.createOnce(window, counts);
    const outcome = stored === counts ? 'created' : 'found';
    logger.info('usage-stored', {
      ...fields,
      accounts: counts.size,
      requests: sumOf(counts),
      outcome: stored === undefined ? 'unknown' : outcome,
    });
    if (stored === undefined) this.#postpone(window);
    else this.#update(window, { counts: stored, state: 'stored' });
    return stored;
  }

  async #send(window: number, counts: ReadonlyMap<string, number>): Promise<void> {
    const { logger, metrics, dueMs } = this.#options;
    const { calls, fencing } = this.#context;
    if (!(await this.#context.verify())) {
      this.#postpone(window);
      return;
    }
    const result = await calls.reportUsage({ window, counts });
    const sinceEndMs = Math.round(this.#sinceEndMs(window));
    logger.info('usage-sent', { window, fencing, result, sinceEndMs });
    if (result !== 'accepted') {
      this.#postpone(window);
      return;
    }
    metrics.usageWindows.inc({ outcome: sinceEndMs > dueMs ? 'late' : 'in-time' });
    this.#update(window, { state: 'sent' });
  }

  /** Announces that nothing is outstanding, so that a successor without fencing need not wait for late calls. */
  #confirm(): void {
    const { calls, fencing } = this.#context;
    const states = [...this.#windows.values()].map(({ state }) => state);
    if (states.includes('stored') || calls.mayExecuteLater) return;
    const window = Math.max(
      0,
      ...[...this.#windows].filter(([, { counts }]) => counts !== undefined).map(([each]) => each),
    );
    if (window <= this.#confirmedWindow) return;
    this.#confirmedWindow = window;
    this.#options.exchange.confirm({ term: fencing, window });
  }

  /** Removes one stored report that no node sends any more. */
  async #removeExpired(): Promise<void> {
    for (const [window, { counts }] of this.#windows) {
      if (this.#sinceEndMs(window) < RETENTION_MS) continue;
      if (counts !== undefined && !(await this.#options.store.remove(window))) return;
      this.#windows.delete(window);
      if (counts !== undefined) return;
    }
  }
}
