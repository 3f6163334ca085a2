import type { IncomingMessage, ServerResponse } from 'node:http';
import { AttemptGate } from '../decisions/attemptGate.ts';
import type { AdmissionPriority } from '../decisions/admissionPool.ts';
import type { RetryBudget } from '../decisions/retryBudget.ts';
import type { HopSpan, Tracing } from '../observability/tracing.ts';
import type { Logger } from '../observability/logger.ts';
import type { Metrics } from '../observability/metrics.ts';
import type { ResolvedPool, ResolvedRoute } from '../tables/resolveTables.ts';
import type { RequestScope } from './requestScope.ts';
import type { WorkerSlot } from './workerSlot.ts';

/** State of one admitted request. */
export interface RequestContext {
  /** Unique id; also the prefix of the stream ids of its attempts. */
  readonly id: string;
  readonly route: ResolvedRoute;
  readonly pool: ResolvedPool;
  readonly priority: AdmissionPriority;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly slot: WorkerSlot;
  readonly scope: RequestScope;
  readonly retryBudget: RetryBudget;
  readonly gate: AttemptGate;
  readonly span: HopSpan;
  /** Addresses of the workers tried so far. */
  readonly triedAddresses: Set<string>;
  /** Whether a worker may have received any part of the request. */
  mayHaveRun: boolean;
}

/** Dependencies that all request handlers share. */
export interface HandlerDependencies {
  readonly tracing: Tracing;
  readonly metrics: Metrics;
  readonly logger: Logger;
}
