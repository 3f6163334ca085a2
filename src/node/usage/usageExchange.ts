import type { MessageInitShape } from '@bufbuild/protobuf';
import type {
  ReportCountsRequest,
  ReportCountsRequestSchema,
  ReportCountsResponse,
  ReportCountsResponseSchema,
} from '../../gen/hyssoppulley/v1/usage_pb.ts';
import type { NodeIdentity } from '../../gen/hyssoppulley/v1/peer_pb.ts';
import { type Clock, Stopwatch } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import { repeatEvery } from '../../shared/repeat.ts';
import type { AgreedClock } from '../decisions/usage/agreedClock.ts';
import type { UsageLedger } from '../decisions/usage/usageLedger.ts';
import type { ElectionView } from '../election/holderElection.ts';
import type { Logger } from '../observability/logger.ts';
import type { UsageCounter } from './usageCounter.ts';
import { decodeUsage, encodeUsage } from './usageMessages.ts';

/** Interval between reports of counts to the holder of the duty, in ms; a crash loses the counts since the last one. */
const REPORT_INTERVAL_MS = 1000;

/** Timeout of a call to another node, in ms. */
const CALL_TIMEOUT_MS = 800;

/** Timeout of the last report of a stopping node, in ms. */
const FINAL_CALL_TIMEOUT_MS = 400;

/** Maximum number of receivers whose state is kept; there are two at a time. */
const MAX_RECEIVERS = 8;

/** Number of ended windows of which a node tells a new holder what others counted; earlier ones are overdue. */
const RECALLED_WINDOWS = 6;

/** The holder of `term` had no call without a response when it had sent all windows up to `window`. */
export interface ConfirmedWindow {
  readonly term: number;
  readonly window: number;
}

const encodeConfirmed = (confirmed: ConfirmedWindow | undefined) =>
  confirmed && { term: confirmed.term, window: BigInt(confirmed.window) };

const decodeConfirmed = (
  confirmed: ReportCountsRequest['confirmed'],
): ConfirmedWindow | undefined =>
  confirmed && { term: confirmed.term, window: Number(confirmed.window) };

/** Node to which counts are reported. */
export type UsageReceiver = Pick<NodeIdentity, 'name' | 'incarnation' | 'host' | 'peerPort'>;

/** Calls the node at an address. */
export type ReportCounts = (
  receiver: UsageReceiver,
  request: MessageInitShape<typeof ReportCountsRequestSchema>,
  timeoutMs: number,
) => Promise<ReportCountsResponse>;

export interface UsageExchangeOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly agreedClock: AgreedClock;
  readonly counter: UsageCounter;
  readonly ledger: UsageLedger;
  readonly view: ElectionView;
  /** The holder of the duty and the next candidate, without this node. */
  readonly receivers: () => readonly UsageReceiver[];
  readonly call: ReportCounts;
}

interface ReceiverState {
  /** Version of the counts that the receiver has. */
  version: number;
  completeUntilMs: number;
  /** Latest confirmed window that the receiver has been told. */
  confirmedWindow: number;
  /** Number of calls in progress. */
  calls: number;
}

/** Reports the counts of this node to those that keep them, and keeps what others report. */
export class UsageExchange implements Disposable {
  readonly #options: UsageExchangeOptions;

  /** By incarnation. */
  readonly #states = new Map<string, ReceiverState>();

  /** Version of the counts of this node that its own ledger has. */
  #ownVersion = 0;

  #confirmed: ConfirmedWindow | undefined;

  readonly #timer: Disposable;

  constructor(options: UsageExchangeOptions) {
    this.#options = options;
    this.#timer = repeatEvery(options.clock, REPORT_INTERVAL_MS, () => this.#tick());
  }

  /** The latest holder of which it is known that all its reports were confirmed, and its latest window. */
  get confirmed(): ConfirmedWindow | undefined {
    return this.#confirmed;
  }

  /** Records and announces that the holder of a term has no call without a response. */
  confirm(confirmed: ConfirmedWindow): void {
    this.#learn(confirmed);
    for (const receiver of this.#options.receivers()) {
      void this.#report(receiver, CALL_TIMEOUT_MS, true);
    }
  }

  get currentWindow(): number {
    const { counter, agreedClock } = this.#options;
    return counter.counts.windowOf(agreedClock.nowMs());
  }

  /** Handles the report of another node. */
  receive(request: ReportCountsRequest): MessageInitShape<typeof ReportCountsResponseSchema> {
    const { clock, agreedClock, ledger, logger, view } = this.#options;
    const { counts, wantsAll, clockMs } = request;
    if (counts !== undefined) {
      agreedClock.observe(counts.incarnation, Number(clockMs));
      ledger.merge(decodeUsage(counts), this.currentWindow);
    }
    this.#learn(decodeConfirmed(request.confirmed));
    const response = { clockMs: BigInt(Math.floor(clock.nowMs())) };
    if (!wantsAll) return response;
    this.refreshOwn();
    const live = new Set(
      view
        .peers()
        .filter(({ suspected }) => !suspected)
        .map(({ identity }) => identity.incarnation),
    );
    // Live nodes are asked themselves, so what this node counted and what nobody else can tell comes first.
    const rank = (incarnation: string) => {
      if (incarnation === view.self.incarnation) return 0;
      return live.has(incarnation) ? 2 : 1;
    };
    const kept = ledger
      .kept(this.currentWindow - RECALLED_WINDOWS)
      .sort((left, right) => rank(left.incarnation) - rank(right.incarnation));
    const encoded = encodeUsage(kept);
    if (encoded.omittedWindows > 0) {
      logger.warn('usage-recall-truncated', { omittedWindows: encoded.omittedWindows });
    }
    return {
      ...response,
      counts: encoded.counts,
      confirmed: encodeConfirmed(this.#confirmed),
    };
  }

  /** Takes the counts of this node into its own ledger. */
  refreshOwn(): void {
    const { counter, agreedClock, ledger, view } = this.#options;
    counter.counts.advance(agreedClock.nowMs());
    const { version } = counter.counts;
    const { completeUntilMs } = counter;
    const windows = counter.counts.changedSince(this.#ownVersion);
    this.#ownVersion = version;
    const { incarnation } = view.self;
    ledger.merge({ incarnation, completeUntilMs, windows }, this.currentWindow);
  }

  /**
   * Asks all live nodes for what they have counted and kept.
   *
   * @returns number of nodes that answered
   */
  async recall(): Promise<number> {
    const { view, ledger, logger, call } = this.#options;
    const live = view.peers().filter(({ suspected }) => !suspected);
    const answers = await Promise.all(
      live.map(async ({ identity }) => {
        try {
          const response = await call(identity, { wantsAll: true }, CALL_TIMEOUT_MS);
          const { counts, confirmed } = response;
          this.#learn(decodeConfirmed(confirmed));
          for (const each of counts) ledger.merge(decodeUsage(each), this.currentWindow);
          return true;
        } catch (error) {
          logger.info('usage-recall-failed', { peer: identity.name, message: messageOf(error) });
          return false;
        }
      }),
    );
    return answers.filter(Boolean).length;
  }

  /** Reports the counts of this node before it stops. */
  async push(): Promise<void> {
    const receivers = this.#options.receivers();
    await Promise.all(receivers.map((each) => this.#report(each, FINAL_CALL_TIMEOUT_MS, true)));
  }

  [Symbol.dispose](): void {
    this.#timer[Symbol.dispose]();
  }

  #tick(): void {
    const { ledger, receivers } = this.#options;
    this.refreshOwn();
    ledger.sweep(this.currentWindow);
    for (const receiver of receivers()) void this.#report(receiver, CALL_TIMEOUT_MS, false);
  }

  #learn(confirmed: ConfirmedWindow | undefined): void {
    const known = this.#confirmed;
    if (confirmed === undefined) return;
    const isLater =
      known === undefined ||
      confirmed.term > known.term ||
      (confirmed.term === known.term && confirmed.window > known.window);
    if (isLater) this.#confirmed = confirmed;
  }

  #stateOf(incarnation: string): ReceiverState {
    const state = this.#states.get(incarnation) ?? {
      ...{ version: 0, completeUntilMs: 0, confirmedWindow: 0, calls: 0 },
    };
    this.#states.delete(incarnation);
    this.#states.set(incarnation, state);
    const [oldest] = this.#states.keys();
    if (this.#states.size > MAX_RECEIVERS && oldest !== undefined) this.#states.delete(oldest);
    return state;
  }

  /** Reports what has changed since the receiver's last response, or that a window has ended without a change. */
  async #report(receiver: UsageReceiver, timeoutMs: number, isFinal: boolean): Promise<void> {
    const { clock, agreedClock, counter, logger, view, call } = this.#options;
    const state = this.#stateOf(receiver.incarnation);
    const { counts, completeUntilMs } = counter;
    const windowEnded = counts.windowOf(completeUntilMs) > counts.windowOf(state.completeUntilMs);
    const confirmedWindow = this.#confirmed?.window ?? 0;
    const isDue =
      counts.version > state.version || windowEnded || confirmedWindow > state.confirmedWindow;
    if (!isDue || (state.calls > 0 && !isFinal)) return;
    const windows = counts.changedSince(state.version);
    const { incarnation } = view.self;
    const encoded = encodeUsage([{ incarnation, windows, completeUntilMs }]);
    const { omittedWindows, omittedAccounts } = encoded;
    const [message] = encoded.counts;
    // What was left out follows in the next report; until then the counts are not complete.
    if (message !== undefined && omittedWindows > 0) message.completeUntilMs = 0n;
    const version = windows[windows.length - omittedWindows - 1]?.version ?? state.version;
    if (omittedAccounts > 0) logger.warn('usage-accounts-omitted', { accounts: omittedAccounts });
    state.calls += 1;
    try {
      const clockMs = BigInt(Math.floor(clock.nowMs()));
      const confirmed = encodeConfirmed(this.#confirmed);
      const sent = new Stopwatch(clock);
      const response = await call(receiver, { counts: message, clockMs, confirmed }, timeoutMs);
      const responseAgeMs = sent.minElapsedMs() / 2;
      agreedClock.observe(receiver.incarnation, Number(response.clockMs) + responseAgeMs);
      state.confirmedWindow = Math.max(state.confirmedWindow, confirmedWindow);
      state.version = Math.max(state.version, version);
      state.completeUntilMs = Number(message?.completeUntilMs ?? 0);
    } catch (error) {
      logger.info('usage-report-failed', { peer: receiver.name, message: messageOf(error) });
    } finally {
      state.calls -= 1;
    }
  }
}
