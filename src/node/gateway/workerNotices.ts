import type { Clock } from '../../shared/clock.ts';
import { RequestLimits } from '../decisions/requestLimits.ts';
import type { Logger } from '../observability/logger.ts';
import type { Metrics } from '../observability/metrics.ts';
import type { CalledWorker } from './workerCalls.ts';
import type { WorkerRegistry } from './workerRegistry.ts';

/** What a worker says about itself in every answer. */
export interface WorkerNotice {
  /** Requests per second that the worker takes from all nodes together; undefined when it names no limit. */
  readonly limitPerSecond: number | undefined;
  /** Whether the worker is about to stop. */
  readonly leaving: boolean;
}

/** Called with the notice of each answer. `request`: id of the answered request. */
export type NoticeListener = (worker: CalledWorker, notice: WorkerNotice, request: string) => void;

export interface WorkerNoticesOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Pick<Metrics, 'requestLimitChanges'>;
  readonly limits: RequestLimits;
  readonly registry: Pick<WorkerRegistry, 'markLeaving'>;
  /** Called when a worker begins to name a limit. */
  readonly onNamed: (worker: string) => void;
}

/** Records what workers say about themselves in their answers. */
export const createNoticeListener =
  ({ clock, logger, metrics, limits, registry, onNamed }: WorkerNoticesOptions): NoticeListener =>
  ({ id: worker, startedAtMs }, { limitPerSecond, leaving }, request) => {
    if (leaving) registry.markLeaving(worker, startedAtMs, request);
    const nowMs = clock.monotonicMs();
    const former = limits.of(worker);
    const change = limits.recordAnswer(worker, limitPerSecond, nowMs);
    if (change === undefined) return;
    metrics.requestLimitChanges.inc({ change });
    logger.info('request-limit-changed', { worker, change, limitPerSecond, former, request });
    if (change === 'named') onNamed(worker);
  };
