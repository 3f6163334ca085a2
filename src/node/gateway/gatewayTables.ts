/** What may be repeated on a route, and what its answers look like. */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'stream' | 'batch';

/** A pool with its share of a route's requests. */
export interface WeightedPool {
  readonly pool: string;
  readonly weight: number;
}

/** What a route of batches allows. */
export interface BatchRouteSettings {
  /** All results are due this long after the submission, in ms. */
  readonly resultDeadlineMs: number;
  /** An item may be given up this long after the submission, in ms. */
  readonly itemTtlMs: number;
  /** Whether all of an item's text must come from one weight version. */
  readonly singleVersion: boolean;
}

/** One row of the table of routes. */
export interface GatewayRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly pools: readonly WeightedPool[];
  /** Longest time for the whole answer, in ms. */
  readonly timeoutMs: number;
  /** Time within which an answer is worth most, in ms. */
  readonly targetLatencyMs: number;
  /** Workers to which one request may be sent. */
  readonly maxAttempts: number;
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  /** Whether a broken stream may go on at another worker. */
  readonly resumable: boolean;
  /** Present on routes of kind `batch`. */
  readonly batch?: BatchRouteSettings;
}

/** What a pool of model engines shares. */
export interface EnginePool {
  /** Requests that one worker runs at once. */
  readonly slots: number;
  /** Tokens that a worker keeps in memory. */
  readonly cacheTokens: number;
  /** Tokens in one event of a stream. */
  readonly tokensPerEvent: number;
  readonly models: readonly string[];
}

/** One row of the table of pools. */
export interface GatewayPool {
  readonly name: string;
  /** Connections that one worker accepts from all nodes together. */
  readonly maxConnections: number;
  /** Present on pools of model engines. */
  readonly engine?: EnginePool;
}

/** What callers may send. */
export interface RequestLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One accepted revision of both tables. */
export interface GatewayTables {
  readonly revision: number;
  readonly routes: readonly GatewayRoute[];
  readonly pools: ReadonlyMap<string, GatewayPool>;
  readonly bounds: RequestLimits;
}
