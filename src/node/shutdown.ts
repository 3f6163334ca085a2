import { type Clock, sleep } from '../shared/clock.ts';
import { messageOf } from '../shared/errors.ts';
import {
  GracefulShutdown,
  type GracefulShutdownOptions,
  type ShutdownAction,
} from './decisions/gracefulShutdown.ts';
import type { Logger } from './observability/logger.ts';
import type { RequestTracker } from './requestTracker.ts';

/** How a planned stop ended. */
export interface StopResult {
  /** 0: nothing was cut off. 1: ended by the deadline or a second signal. */
  readonly exitCode: 0 | 1;
  /** Requests in progress that were cut off. */
  readonly cutOffCount: number;
}

export interface ShutdownOptions extends GracefulShutdownOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly requests: RequestTracker;
  /** Leaves the entries answers and tells every peer. */
  readonly announce: () => Promise<void>;
  /** Accepts no more connections from callers. */
  readonly closeListener: () => void;
  /** Hands leases over. A function that fails is logged; its lease then ends by itself. */
  readonly handOvers: readonly (() => Promise<void>)[];
  readonly deregister: () => Promise<boolean>;
  /** Releases what is left, after the last step. */
  readonly dispose: () => Promise<void>;
}

/** Carries out a planned stop. */
export class Shutdown {
  readonly #options: ShutdownOptions;

  readonly #stop: GracefulShutdown;

  /** Resolves when the process may end. */
  readonly finished: Promise<StopResult>;

  readonly #finish: (result: StopResult) => void;

  #timer: Disposable | undefined;

  constructor(options: ShutdownOptions) {
    this.#options = options;
    this.#stop = new GracefulShutdown(options);
    let finish: (result: StopResult) => void;
    this.finished = new Promise((resolve) => {
      finish = resolve;
    });
    this.#finish = (result) => finish(result);
    options.requests.onChange(() => this.#tick());
  }

  /** Begins the planned stop; the second call ends it at once. */
  signal(): void {
    const { clock, logger, requests, keepServingMs, deadlineMs } = this.#options;
    logger.info('stop-signal', { phase: this.#stop.phase, inFlight: requests.inFlight });
    if (this.#stop.phase === 'serving' && keepServingMs >= deadlineMs) {
      logger.warn('stop-deadline-too-short', { keepServingMs, deadlineMs });
    }
    this.#run(this.#stop.signal(clock.monotonicMs(), requests.inFlight));
  }

  #tick(): void {
    const { clock, requests } = this.#options;
    this.#run(this.#stop.tick(clock.monotonicMs(), requests.inFlight));
  }

  #run(actions: readonly ShutdownAction[]): void {
    for (const action of actions) this.#perform(action);
    this.#timer?.[Symbol.dispose]();
    const nextMs = this.#stop.nextTickMs();
    if (nextMs === undefined) return;
    const { clock } = this.#options;
    this.#timer = clock.schedule(Math.max(0, nextMs - clock.monotonicMs()), () => this.#tick());
  }

  #perform(action: ShutdownAction): void {
    const { clock, logger, requests, announce, closeListener, deregister } = this.#options;
    if (action.type === 'announce') {
      requests.closeAfterAnswer = true;
      void this.#guard('announce', announce);
    } else if (action.type === 'close-listener') {
      closeListener();
    } else if (action.type === 'hand-over') {
      void this.#handOver().then(() =>
        this.#run(this.#stop.handedOver(clock.monotonicMs(), requests.inFlight)),
      );
    } else if (action.type === 'deregister') {
      void this.#guard('deregister', deregister).then(() =>
        this.#run(this.#stop.deregistered(requests.inFlight)),
      );
    } else {
      const { exitCode, cutOffCount, reason } = action;
      const fields = { exitCode, cutOffRequests: cutOffCount, reason };
      if (exitCode === 0) logger.info('node-stopped', fields);
      else logger.error('node-stopped', fields);
      void this.#exit({ exitCode, cutOffCount });
    }
  }

  async #exit(result: StopResult): Promise<void> {
    // A forced end does not wait for anything.
    if (result.exitCode === 0) await this.#guard('dispose', this.#options.dispose);
    this.#finish(result);
  }

  async #handOver(): Promise<void> {
    await Promise.all(this.#options.handOvers.map((run) => this.#guard('hand-over', run)));
  }

  async #guard(step: string, run: () => Promise<unknown>): Promise<void> {
    const { logger } = this.#options;
    try {
      await run();
      logger.info('stop-step-done', { step });
    } catch (error) {
      logger.warn('stop-step-failed', { step, message: messageOf(error) });
    }
  }
}

/** Time for the last lines of the log when the process ends, in ms; a reader that stands still must not keep it alive. */
const LAST_LINES_MS = 200;

/** Begins a planned stop at SIGTERM or SIGINT, and ends the process with its exit code. */
export const stopOnSignals = (shutdown: Shutdown, logger: Logger, clock: Clock): void => {
  for (const name of ['SIGTERM', 'SIGINT'] as const) process.on(name, () => shutdown.signal());
  void shutdown.finished.then(async ({ exitCode }) => {
    await Promise.race([logger.drained(), sleep(clock, LAST_LINES_MS)]);
    // eslint-disable-next-line n/no-process-exit
    process.exit(exitCode);
  });
};
