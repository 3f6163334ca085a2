import type { AcceptResult, BatchSubmission } from '../batches/batchAcceptor.ts';
import type { BatchRead, ItemRead } from '../batches/batchReader.ts';
import type { EndResult } from '../batches/batchService.ts';
import type { ForwardedRequest, ForwardOutcome } from './forwarder.ts';
import type { GatewayRoute, RequestLimits } from './gatewayTables.ts';

/** How a request is routed. `not-ready`: this node knows no tables yet. */
export type RouteMatch =
  | { readonly kind: 'route'; readonly route: GatewayRoute }
  | { readonly kind: 'no-route' }
  | { readonly kind: 'not-ready' };

/** What a gateway does for callers and trainers. */
export interface GatewayServices {
  /** Whether this node takes new requests. */
  ready(): boolean;
  /** Addresses at which callers reach the nodes that take requests, those of the caller's zone first. */
  entryAddresses(availabilityZone: string): readonly string[];
  bounds(): RequestLimits | undefined;
  /** @param request - id of the request, for the log */
  match(host: string, path: string, request: string): RouteMatch;
  forward(
    request: ForwardedRequest,
    route: GatewayRoute,
    signal: AbortSignal,
  ): Promise<ForwardOutcome>;
  submitBatch(submission: BatchSubmission, route: GatewayRoute): Promise<AcceptResult>;
  readBatch(batchId: string, after: number, waitMs: number): Promise<BatchRead>;
  readItem(batchId: string, itemId: string): Promise<ItemRead>;
  endBatch(batchId: string): Promise<EndResult>;
}
