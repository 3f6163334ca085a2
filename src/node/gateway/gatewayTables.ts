/** Whether requests of a route may be repeated, and the form of its responses. */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'stream' | 'batch';

/** A pool and its weight in the distribution of a route's requests. */
export interface WeightedPool {
  readonly pool: string;
  readonly weight: number;
}

/** Settings of a route of kind `batch`. */
export interface BatchRouteSettings {
  /** Deadline for all results, counted from the submission, in ms. */
  readonly resultDeadlineMs: number;
  /** Time after the submission from which an item may be abandoned, in ms. */
  readonly itemTtlMs: number;
  /** Whether the complete text of an item must be generated with one weight version. */
  readonly singleVersion: boolean;
}

/** One row of the route table. */
export interface GatewayRoute {
  readonly name: string;
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly pools: readonly WeightedPool[];
  /** Timeout for the complete response, in ms. */
  readonly timeoutMs: number;
  /** Response time within which a response has its full value, in ms. */
  readonly targetLatencyMs: number;
  /** Maximum number of attempts per request; attempts that a worker refused do not count. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether an interrupted stream may be resumed on another worker. */
  readonly resumable: boolean;
  /** Present on routes of kind `batch`. */
  readonly batch?: BatchRouteSettings;
}

/** Properties common to all workers of a pool of model engines. */
export interface EnginePool {
  /** Number of requests that one worker runs concurrently. */
  readonly slots: number;
  /** Capacity of a worker's KV cache, in tokens. */
  readonly cacheTokens: number;
  /** Number of tokens per stream event. */
  readonly tokensPerEvent: number;
  readonly models: readonly string[];
}

/** One row of the pool table. */
export interface GatewayPool {
  readonly name: string;
  /** Maximum number of connections that one worker accepts, from all nodes together. */
  readonly maxConnections: number;
  /** Present on pools of model engines. */
  readonly engine?: EnginePool;
}

/** Limits on the requests that callers may send. */
export interface RequestLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One accepted revision of the route and pool tables. */
export interface GatewayTables {
  readonly revision: number;
  readonly routes: readonly GatewayRoute[];
  readonly pools: ReadonlyMap<string, GatewayPool>;
  readonly requestLimits: RequestLimits;
}
