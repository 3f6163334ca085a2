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
  /** Whether requests need no key of an account. @default false */
  readonly isPublic?: boolean;
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

/** Bounds and prices for ordering workers of a pool. Prices are relative to an ordinary worker in a zone of price 1. */
export interface ScalingBounds {
  /** Minimum number of workers in each availability zone, ordinary and spot workers together. */
  readonly minWorkers: number;
  /** Maximum number of workers in each availability zone, ordinary and spot workers together. */
  readonly maxWorkers: number;
  /** Time from an order until the worker serves, in ms. */
  readonly startMs: number;
  /** Price of a spot worker relative to an ordinary one; undefined: there are no spot workers. */
  readonly spotPriceFactor: number | undefined;
  /** Price of a worker per second, by availability zone. */
  readonly zonePrices: ReadonlyMap<string, number>;
}

/** One row of the pool table. */
export interface GatewayPool {
  readonly name: string;
  /** Maximum number of connections that one worker accepts, from all nodes together. */
  readonly maxConnections: number;
  /** Present on pools of model engines. */
  readonly engine?: EnginePool;
  /** Present where the number of workers may be changed by orders. */
  readonly scaling?: ScalingBounds;
}

/** A client account, which proves itself by any of its keys. */
export interface Account {
  readonly name: string;
  readonly keys: readonly string[];
  /** Takes precedence over the priority of a route; 0 is the most urgent. @default the route's */
  readonly priority?: number;
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
  /** Client accounts; where there are none, requests need no key. */
  readonly accounts?: readonly Account[];
}

/** Whether requests need a key. */
export const hasAccounts = (tables: GatewayTables | undefined): boolean =>
  (tables?.accounts?.length ?? 0) > 0;
