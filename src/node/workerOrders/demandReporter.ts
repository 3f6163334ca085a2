import type { NodeIdentity } from '../../gen/hyssoppulley/v1/peer_pb.ts';
import type { Clock } from '../../shared/clock.ts';
import { messageOf } from '../../shared/errors.ts';
import { repeatEvery } from '../../shared/repeat.ts';
import type { DispatcherDemand } from '../batches/batchDemand.ts';
import type { Peer } from '../membership/membershipView.ts';
import type { Logger } from '../observability/logger.ts';
import { DEMAND_REPORT_INTERVAL_MS, WORKER_ORDERS_LEASE } from './constants.ts';

/** Time limit of a report, in ms; the next one replaces it. */
const REPORT_TIMEOUT_MS = 800;

export interface DemandReporterOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly peers: () => readonly Peer[];
  /** Whether this node holds the duty. */
  readonly isHolder: () => boolean;
  /** Demand of the pools that this node dispatches and whose workers may be ordered. */
  readonly demands: () => readonly DispatcherDemand[];
  readonly receive: (demand: DispatcherDemand) => void;
  readonly call: (
    node: NodeIdentity,
    demand: DispatcherDemand,
    timeoutMs: number,
  ) => Promise<unknown>;
}

/** Term in which a peer announces that it holds the duty; 0 if it does not. */
const dutyTerm = ({ leases }: Peer): number => {
  const lease = leases.find((held) => held.startsWith(WORKER_ORDERS_LEASE));
  return lease === undefined ? 0 : Number(lease.slice(WORKER_ORDERS_LEASE.length)) || 0;
};

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
    const { demands, isHolder, receive, peers, call, logger } = this.#options;
    const reported = demands();
    if (reported.length === 0) return;
    if (isHolder()) {
      reported.forEach(receive);
      return;
    }
    const [holder] = peers()
      .filter((peer) => dutyTerm(peer) > 0 && !peer.suspected)
      .sort((left, right) => dutyTerm(right) - dutyTerm(left));
    if (holder === undefined) return;
    try {
      await Promise.all(reported.map((demand) => call(holder.identity, demand, REPORT_TIMEOUT_MS)));
      this.#failed = false;
    } catch (error) {
      if (!this.#failed) {
        logger.info('demand-report-failed', {
          holder: holder.identity.name,
          message: messageOf(error),
        });
      }
      this.#failed = true;
    }
  }
}
