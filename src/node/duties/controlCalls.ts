/** Duties that one node at a time performs at the platform's control API. */
export const DUTY_NAMES = ['usage-reports', 'worker-orders'] as const;

export type DutyName = (typeof DUTY_NAMES)[number];

/** Proof of the right to call, sent with each call. */
export interface HolderCredentials {
  /** Name of the node that holds the duty. */
  readonly holder: string;
  /** Term of the holder; increases with each change of holder. */
  readonly fencing: number;
}

/** Numbers of requests that client accounts ran in one window. */
export interface UsageReport extends HolderCredentials {
  readonly window: number;
  readonly counts: ReadonlyMap<string, number>;
}

/** Number of workers that a pool is to have in an availability zone. */
export interface WorkerOrder extends HolderCredentials {
  readonly pool: string;
  readonly availabilityZone: string;
  readonly count: number;
  readonly spot: boolean;
}

/**
 * `fenced`: a holder with a higher term has called; this one must not call again with its term. `refused`: the call was
 * not executed and will not be. `unknown`: the call may still be executed, up to `MAX_CALL_TRANSIT_MS` after it was sent.
 */
export type UsageReportResult = 'accepted' | 'fenced' | 'refused' | 'unknown';

/** `none-available`: the platform has no such workers at the moment. */
export type WorkerOrderResult = UsageReportResult | 'none-available';

/** The platform's control API. Calls report every failure in their result. */
export interface ControlCalls {
  reportUsage(report: UsageReport): Promise<UsageReportResult>;
  orderWorkers(order: WorkerOrder): Promise<WorkerOrderResult>;
}

/** The platform's control API and the duties that it asks for. */
export interface ControlApi {
  readonly calls: ControlCalls;
  readonly duties: readonly DutyName[];
  /** Maximum number of calls per second of all nodes together. */
  readonly callsPerSecond: number;
}
