import { type Clock, sleep } from '../shared/clock.ts';
import { messageOf } from '../shared/errors.ts';
import {
  GracefulShutdown,
  type GracefulShutdownOptions,
  type ShutdownAction,
} from './decisions/gracefulShutdown.ts';
import type { Logger } from './observability/logger.ts';
import type { ProcessSignals } from './processSignals.ts';
import type { RequestTracker } from './requestTracker.ts';

/** Result of a graceful shutdown. */
export interface ShutdownResult {
  /** 0: no request was aborted. 1: forced by the deadline or by a second signal. */
  readonly exitCode: 0 | 1;
  /** Number of requests in progress that were aborted. */
  readonly cutOffCount: number;
}

export interface ShutdownOptions extends GracefulShutdownOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly requests: RequestTracker;
  /** Stops this node from being listed in the responses of `/v1/entries`, and notifies every peer. */
  readonly announce: () => Promise<void>;
  /** Stops accepting connections from callers. */
  readonly closeListener: () => void;
  /** Ends the requests in progress with an answer. @default they are cut off at the deadline */
  readonly abortRequests?: () => void;
  /** Functions that hand over leases. A failure is logged; the lease then expires by itself. */
  readonly handOvers: readonly (() => Promise<void>)[];
  readonly deregister: () => Promise<boolean>;
  /** Releases the remaining resources, after the last step. */
  readonly dispose: () => Promise<void>;
}

/** Runs a graceful shutdown. */
export class Shutdown {
  readonly #options: ShutdownOptions;

  readonly #stateMachine: GracefulShutdown;

  /** Resolves when the process may exit. */
  readonly finished: Promise<ShutdownResult>;

  readonly #finish: (result: ShutdownResult) => void;

  #timer: Disposable | undefined;

  constructor(options: ShutdownOptions) {
    this.#options = options;
    this.#stateMachine = new GracefulShutdown(options);
    let finish: (result: ShutdownResult) => void;
    this.finished = new Promise((resolve) => {
      finish = resolve;
    });
    this.#finish = (result) => finish(result);
    options.requests.onRequestEnd(() => this.#tick());
  }

  /**
   * Whether a request that arrives now may be started; see `GracefulShutdown.admits`.
   *
   * @param budgetMs - time in which the request is answered at the latest, in ms
   */
  admits(budgetMs: number): boolean {
    return this.#stateMachine.admits(budgetMs, this.#options.clock.monotonicMs());
  }

  /** Whether the shutdown has been started. */
  get isStarted(): boolean {
    return this.#stateMachine.phase !== 'serving';
  }

  /** Starts the shutdown; the second call forces it to end immediately. */
  signal(): void {
    const { clock, logger, requests, keepServingMs, deadlineMs } = this.#options;
    logger.info('stop-signal', { phase: this.#stateMachine.phase, inFlight: requests.inFlight });
    if (this.#stateMachine.phase === 'serving' && keepServingMs >= deadlineMs) {
      logger.warn('stop-deadline-too-short', { keepServingMs, deadlineMs });
    }
    this.#performAll(this.#stateMachine.signal(clock.monotonicMs(), requests.inFlight));
  }

  #tick(): void {
    const { clock, requests } = this.#options;
    this.#performAll(this.#stateMachine.tick(clock.monotonicMs(), requests.inFlight));
  }

  #performAll(actions: readonly ShutdownAction[]): void {
    for (const action of actions) this.#perform(action);
    this.#timer?.[Symbol.dispose]();
    const nextMs = this.#stateMachine.nextTickMs();
    if (nextMs === undefined) return;
    const { clock } = this.#options;
    this.#timer = clock.schedule(Math.max(0, nextMs - clock.monotonicMs()), () => this.#tick());
  }

  #perform(action: ShutdownAction): void {
    const { clock, logger, requests, announce, closeListener, abortRequests, deregister } =
      this.#options;
    if (action.type === 'announce') {
      requests.closeAfterResponse = true;
      void this.#runStep('announce', announce);
    } else if (action.type === 'close-listener') {
      closeListener();
    } else if (action.type === 'abort-requests') {
      logger.warn('stop-requests-aborted', { inFlight: requests.inFlight });
      abortRequests?.();
    } else if (action.type === 'hand-over') {
      void this.#handOver().then(() =>
        this.#performAll(this.#stateMachine.handedOver(clock.monotonicMs(), requests.inFlight)),
      );
    } else if (action.type === 'deregister') {
      void this.#runStep('deregister', deregister).then(() =>
        this.#performAll(this.#stateMachine.deregistered(requests.inFlight)),
      );
    } else {
      const { exitCode, cutOffCount, reason } = action;
      const fields = { exitCode, cutOffRequests: cutOffCount, reason };
      if (exitCode === 0) logger.info('node-stopped', fields);
      else logger.error('node-stopped', fields);
      void this.#exit({ exitCode, cutOffCount });
    }
  }

  async #exit(result: ShutdownResult): Promise<void> {
    // A forced exit does not wait for the release of resources.
    if (result.exitCode === 0) await this.#runStep('dispose', this.#options.dispose);
    this.#finish(result);
  }

  async #handOver(): Promise<void> {
    await Promise.all(this.#options.handOvers.map((run) => this.#runStep('hand-over', run)));
  }

  async #runStep(step: string, run: () => Promise<unknown>): Promise<void> {
    const { logger } = this.#options;
    try {
      await run();
      logger.info('stop-step-done', { step });
    } catch (error) {
      logger.warn('stop-step-failed', { step, message: messageOf(error) });
    }
  }
}

/** Longest wait for the last log lines before the process exits, in ms. A stalled log reader must not keep it alive. */
const LOG_DRAIN_TIMEOUT_MS = 200;

/**
 * Starts the shutdown on SIGTERM or SIGINT, and exits the process with the resulting exit code. Only SIGINT, as a person sends it
 * from a terminal, forces the end of a shutdown in progress: a platform that repeats SIGTERM must not cut off requests.
 */
export const stopOnSignals = (
  signals: ProcessSignals,
  shutdown: Shutdown,
  logger: Logger,
  clock: Clock,
): void => {
  signals.handle('SIGTERM', () => {
    if (shutdown.isStarted) logger.info('stop-signal-repeated', {});
    else shutdown.signal();
  });
  signals.handle('SIGINT', () => shutdown.signal());
  void shutdown.finished.then(async ({ exitCode }) => {
    await Promise.race([logger.drained(), sleep(clock, LOG_DRAIN_TIMEOUT_MS)]);
    // eslint-disable-next-line n/no-process-exit
    process.exit(exitCode);
  });
};
