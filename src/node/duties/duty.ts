import type { DutyRecord } from '../../gen/hyssoppulley/v1/duty_pb.ts';
import { type Clock, sleep, Stopwatch } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import { firstCallDelayMs } from '../decisions/duties/firstCallDelay.ts';
import { VERIFICATION_TTL_MS } from '../election/holderElection.ts';
import type { Logger } from '../observability/logger.ts';
import type { Metrics } from '../observability/metrics.ts';
import { CallBudget } from '../platform/callBudget.ts';
import { MAX_CALL_ARRIVAL_MS, MAX_CALL_TRANSIT_MS, RELEASE_CALL_WAIT_MS } from './constants.ts';
import type { ControlApi, DutyName, HolderCredentials } from './controlCalls.ts';
import { DutyElection, dutyLease, type DutyElectionOptions } from './dutyElection.ts';
import { GuardedControlCalls } from './guardedControlCalls.ts';

/** What a duty is given while this node holds it. */
export interface DutyContext extends HolderCredentials {
  /**
   * Confirms that this node holds the duty and may call. To be called directly before each call, also before a repeat;
   * `calls` refuses a call that is not preceded by it.
   *
   * @returns false also during the wait after a take-over and while the platform does not respond in time
   */
  verify(): Promise<boolean>;
  /** Whether the wait after a take-over has ended, during which `verify` returns false. */
  mayCall(): boolean;
  /** Sends calls with the credentials of this node. */
  readonly calls: GuardedControlCalls;
  /** Aborted when this node no longer holds the duty. */
  readonly signal: AbortSignal;
}

/** Work that one node at a time performs at the control API. */
export interface Duty {
  readonly name: DutyName;
  /**
   * Whether it is certain that no call of the former holder can still be executed. Asked without fencing, after the time
   * in which the former holder could still call; if so, the wait for late calls ends.
   *
   * @default it is not certain
   */
  readonly formerSettled?: (former: DutyRecord) => Promise<boolean>;
  /** Starts the work; the result is disposed when this node no longer holds the duty. */
  readonly start: (context: DutyContext) => Disposable;
}

export interface DutyRunnerOptions extends Omit<
  DutyElectionOptions,
  'duty' | 'onElected' | 'onLost'
> {
  readonly duty: Duty;
  readonly control: ControlApi;
  readonly metrics: Pick<Metrics, 'dutyCalls' | 'dutyHeld'>;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Whether the control API rejects calls with the token of an earlier holder. */
  readonly fenced: boolean;
  /** Time within which two holders may not act in turns, in ms. */
  readonly leaseMs: number;
}

interface HeldDuty {
  readonly abort: AbortController;
  readonly calls: GuardedControlCalls;
  /** Whether the wait after the take-over has ended. */
  readonly mayCall: () => boolean;
  readonly work: Disposable;
}

/** Takes part in the election for a duty and runs it while this node holds it. */
export class DutyRunner implements Disposable {
  readonly election: DutyElection;

  readonly #options: DutyRunnerOptions;

  #held: HeldDuty | undefined;

  #lastCalls: GuardedControlCalls | undefined;

  constructor(options: DutyRunnerOptions) {
    this.#options = options;
    this.election = new DutyElection({
      ...options,
      duty: options.duty.name,
      onElected: (term, former) => this.#start(term, former),
      onLost: () => this.#stop(),
    });
  }

  get name(): DutyName {
    return this.#options.duty.name;
  }

  /** The last call of this node; undefined if there was none. */
  get lastCall(): GuardedControlCalls['last'] {
    return this.#lastCalls?.last;
  }

  /** Lease names to announce in heartbeats. */
  heldLeases(): string[] {
    const { heldTerm } = this.election;
    return heldTerm === undefined ? [] : [dutyLease(this.name, heldTerm)];
  }

  /**
   * Hands the duty over in a planned stop. Without fencing, a successor may only start at once if no call of this node
   * or an earlier holder can still be executed; else the duty is given up without a release.
   */
  async release(): Promise<void> {
    const held = this.#held;
    if (held === undefined) return;
    const { clock, logger, fenced } = this.#options;
    held.work[Symbol.dispose]();
    held.abort.abort();
    const waitAbort = new AbortController();
    const wait = sleep(clock, RELEASE_CALL_WAIT_MS, waitAbort.signal);
    await Promise.race([held.calls.settled(), wait]);
    waitAbort.abort();
    if (fenced || (held.mayCall() && !held.calls.mayExecuteLater)) {
      await this.election.release();
      return;
    }
    logger.info('duty-not-released', { duty: this.name, reason: 'a call may be executed late' });
    this.election.resign('planned stop');
  }

  [Symbol.dispose](): void {
    this.election[Symbol.dispose]();
    this.#stop();
  }

  #start(term: number, former: DutyRecord | undefined): void {
    const { duty, control, clock, logger, metrics, view, fenced, leaseMs } = this.#options;
    const waitMs = firstCallDelayMs({
      ...{ fenced, former, leaseMs },
      verificationMs: VERIFICATION_TTL_MS,
      arrivalMs: MAX_CALL_ARRIVAL_MS,
      transitMs: MAX_CALL_TRANSIT_MS,
    });
    const elected = new Stopwatch(clock);
    const abort = new AbortController();
    let settled = false;
    const mayCall = () => settled || elected.minElapsedMs() >= waitMs;
    if (!fenced && former !== undefined && waitMs > 0) {
      const askAfterMs = Math.max(VERIFICATION_TTL_MS + MAX_CALL_ARRIVAL_MS, leaseMs / 2);
      clock.schedule(askAfterMs, () => {
        if (abort.signal.aborted || elected.minElapsedMs() < askAfterMs) return;
        void this.#isSettled(former).then((isSettled) => {
          settled = isSettled;
        });
      });
    }
    const maySend = () =>
      !abort.signal.aborted &&
      mayCall() &&
      this.election.heldTerm === term &&
      this.election.verifiedAgeMs < VERIFICATION_TTL_MS;
    const credentials = { holder: view.self.name, fencing: term };
    const calls = new GuardedControlCalls({
      ...{ duty: duty.name, calls: control.calls, credentials, clock, logger, metrics, maySend },
      budget: new CallBudget(clock, {
        callsPerSecond: Math.max(1, control.callsPerSecond / control.duties.length),
      }),
      isStillHolder: async () => (await this.election.confirm()) && this.election.heldTerm === term,
      onFenced: () => {
        this.election.resign('the control API has seen a later term', term);
        this.election.recheck();
      },
    });
    const verify = async () => {
      if (abort.signal.aborted || !mayCall() || !(await this.election.verify())) return false;
      return maySend();
    };
    this.#lastCalls = calls;
    metrics.dutyHeld.set({ duty: duty.name }, 1);
    logger.info('duty-started', { duty: duty.name, term, former: former?.node, waitMs });
    const work = duty.start({ ...credentials, verify, mayCall, calls, signal: abort.signal });
    this.#held = { abort, calls, mayCall, work };
  }

  async #isSettled(former: DutyRecord): Promise<boolean> {
    const { duty, logger } = this.#options;
    try {
      const settled = (await duty.formerSettled?.(former)) ?? false;
      logger.info('duty-former-holder', { duty: duty.name, former: former.node, settled });
      return settled;
    } catch (error) {
      logger.info('duty-former-holder', { duty: duty.name, message: messageOf(error) });
      return false;
    }
  }

  #stop(): void {
    const held = this.#held;
    if (held === undefined) return;
    this.#held = undefined;
    this.#options.metrics.dutyHeld.set({ duty: this.name }, 0);
    held.abort.abort();
    held.work[Symbol.dispose]();
  }
}
