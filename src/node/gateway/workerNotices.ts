import type { Clock } from '../../shared/clock.ts';
import { RequestLimits } from '../decisions/requestLimits.ts';
import type { Logger } from '../observability/logger.ts';
import type { Metrics } from '../observability/metrics.ts';

/** What a worker says about itself in every answer. */
export interface WorkerNotice {
  /** Requests per second that the worker takes from all nodes together; undefined when it names no limit. */
  readonly limitPerSecond: number | undefined;
}

/** Called with the notice of each answer. `request`: id of the answered request. */
export type NoticeListener = (worker: string, notice: WorkerNotice, request: string) => void;

export interface WorkerNoticesOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Pick<Metrics, 'requestLimitChanges'>;
  readonly limits: RequestLimits;
}

/** Records what workers say about themselves in their answers. */
export const createNoticeListener =
  ({ clock, logger, metrics, limits }: WorkerNoticesOptions): NoticeListener =>
  (worker, { limitPerSecond }, request) => {
    const former = limits.of(worker);
    const change = limits.observe(worker, limitPerSecond, clock.monotonicMs());
    if (change === undefined) return;
    metrics.requestLimitChanges.inc({ change });
    logger.info('request-limit-changed', { worker, change, limitPerSecond, former, request });
  };
