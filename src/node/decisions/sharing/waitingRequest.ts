import type { ShareRule } from './shareRules.ts';

/** A request for a place in a pool. */
export interface AdmissionRequest {
  readonly route: string;
  /** Name of the client account; empty where there is none. */
  readonly account: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether no other route of the pool is more urgent. */
  readonly isUrgent: boolean;
  /** Whether a finished text waits for the call. */
  readonly isScoring: boolean;
  /** When the time budget ends, monotonic ms. */
  readonly deadlineMs: number;
  /** When the target latency is over, monotonic ms. */
  readonly targetMs: number;
  /** Usual time of the work at a worker, in ms. */
  readonly workMs: number;
}

/** A request that waits. */
export interface WaitingRequest {
  readonly request: AdmissionRequest;
  readonly sinceMs: number;
  /** Increases with each arrival. */
  readonly sequence: number;
  /** Whether the caller was probably refused before. */
  readonly isReturning: boolean;
}

const meetsTarget = ({ request }: WaitingRequest, nowMs: number): boolean =>
  nowMs + request.workMs <= request.targetMs;

/**
 * Compares two waiting requests: priority, whether the target latency can still be met, the share of the account,
 * whether the caller was refused before, arrival. Negative: `a` goes first.
 */
export const compareWaiting = (
  a: WaitingRequest,
  b: WaitingRequest,
  nowMs: number,
  shares: Pick<ShareRule, 'keyOf'>,
): number =>
  a.request.priority - b.request.priority ||
  Number(meetsTarget(b, nowMs)) - Number(meetsTarget(a, nowMs)) ||
  shares.keyOf(a.request.account) - shares.keyOf(b.request.account) ||
  Number(b.isReturning) - Number(a.isReturning) ||
  a.sequence - b.sequence;
