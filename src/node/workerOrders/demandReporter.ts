import type { DutyRecord } from '../../gen/hyssoppulley/v1/duty_pb.ts';
import type { Clock } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import { repeatEvery } from '../../shared/repeat.ts';
import type { DispatcherDemand } from '../batches/batchDemand.ts';
import type { Logger } from '../observability/logger.ts';
import { DEMAND_REPORT_INTERVAL_MS } from './constants.ts';

/** Time limit of a report, in ms; the next one replaces it. */
const REPORT_TIMEOUT_MS = 800;

export interface DemandReporterOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** The holder of the duty; undefined while it is not known. */
  readonly holder: () => DutyRecord | undefined;
  /** Whether this node holds the duty. */
  readonly isHolder: () => boolean;
  /** Demand of the pools that this node dispatches and whose workers may be ordered. */
  readonly demands: () => readonly DispatcherDemand[];
  readonly receive: (demand: DispatcherDemand) => void;
  readonly call: (
    node: DutyRecord,
    demand: DispatcherDemand,
    timeoutMs: number,
  ) => Promise<unknown>;
}

/** Reports the demand of the pools that this node dispatches to the holder of the duty. */
export class DemandReporter implements Disposable {
  readonly #options: DemandReporterOptions;

  readonly #timer: Disposable;

  /** Whether the last report failed, so that only the first failure in a row is logged. */
  #failed = false;

  constructor(options: DemandReporterOptions) {
    this.#options = options;
    this.#timer = repeatEvery(options.clock, DEMAND_REPORT_INTERVAL_MS, () => this.#report());
  }

  [Symbol.dispose](): void {
    this.#timer[Symbol.dispose]();
  }

  async #report(): Promise<void> {
    const { demands, isHolder, receive, holder, call, logger } = this.#options;
    const reported = demands();
    if (reported.length === 0) return;
    if (isHolder()) {
      reported.forEach(receive);
      return;
    }
    const to = holder();
    if (to === undefined || to.released) return;
    try {
      await Promise.all(reported.map((demand) => call(to, demand, REPORT_TIMEOUT_MS)));
      this.#failed = false;
    } catch (error) {
      if (!this.#failed) {
        logger.info('demand-report-failed', {
          holder: to.node,
          message: messageOf(error),
        });
      }
      this.#failed = true;
    }
  }
}
