import type { Authentication, KeyedRequest } from '../accounts/accountAuthentication.ts';
import type { BatchCaller } from '../decisions/accounts/batchOwnership.ts';
import type { AcceptResult, BatchSubmission } from '../batches/batchAcceptor.ts';
import type { BatchRead, ItemRead } from '../batches/batchReader.ts';
import type { EndResult } from '../batches/batchService.ts';
import type {
  ForwardedRequest,
  ForwardOutcome,
  StreamOutcome,
  StreamSink,
} from './forwardedRequest.ts';
import type { GatewayRoute, RequestLimits } from './gatewayTables.ts';

/** Reason with which requests are aborted that a stopping node can no longer complete. */
export const STOPPING = 'the node is about to stop';

/** Result of matching a request to a route. `not-ready`: this node has not received any tables yet. */
export type RouteMatch =
  | { readonly kind: 'route'; readonly route: GatewayRoute }
  | { readonly kind: 'no-route' }
  | { readonly kind: 'not-ready' };

/** Host and path of a request, by which its route is found. */
export interface RequestTarget {
  readonly host: string;
  /** Path without the query string. */
  readonly path: string;
}

/** Operations that a gateway offers to callers and trainers. */
export interface GatewayServices {
  /** Whether this node accepts new requests. */
  ready(): boolean;
  /**
   * Whether a request may be started; a node that is about to stop refuses those that it might not complete.
   *
   * @param budgetMs - time in which the request is answered at the latest, in ms
   */
  admits(budgetMs: number): boolean;
  /** Addresses at which callers reach the nodes that accept requests, those in the caller's availability zone first. */
  entryAddresses(availabilityZone: string): readonly string[];
  requestLimits(): RequestLimits | undefined;
  /** @param request - request id for the log */
  match(host: string, path: string, request: string): RouteMatch;
  /** Decides on whose behalf a request runs. Called before its body is read. */
  authenticate(request: KeyedRequest, route: GatewayRoute): Authentication;
  /** The same for a request about a batch. */
  authenticateBatchCall(request: KeyedRequest & RequestTarget): Authentication;
  forward(
    request: ForwardedRequest,
    route: GatewayRoute,
    signal: AbortSignal,
  ): Promise<ForwardOutcome>;
  /** Forwards a request on a streaming route. What it passes to `sink` is sent to the caller as it arrives. */
  forwardStream(
    request: ForwardedRequest,
    route: GatewayRoute,
    sink: StreamSink,
    signal: AbortSignal,
  ): Promise<StreamOutcome>;
  /**
   * Outcome of a submission, before its body is read, while no further batches are accepted; undefined if it may be accepted.
   *
   * @param submission - id of the batch and name of the submitting account
   */
  refuseBatch(
    submission: Pick<BatchSubmission, 'id' | 'account'>,
    route: GatewayRoute,
  ): Promise<AcceptResult | undefined>;
  submitBatch(submission: BatchSubmission, route: GatewayRoute): Promise<AcceptResult>;
  /** @param caller - on whose behalf the batch is read */
  readBatch(
    batchId: string,
    after: number,
    waitMs: number,
    caller: BatchCaller,
  ): Promise<BatchRead>;
  readItem(batchId: string, itemId: string, caller: BatchCaller): Promise<ItemRead>;
  endBatch(batchId: string, caller: BatchCaller): Promise<EndResult>;
}
