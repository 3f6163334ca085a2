import {
  Fencing,
  type Pool,
  Priority,
  Protocol,
  RolloutStrategy,
  type Route,
  type Tables,
} from '../../gen/hyssoppulley/v1/tables_pb.ts';

const resolveRoute = (route: Route) => ({
  name: route.name,
  match: {
    callers: new Set(route.match?.callers),
    pathPrefix: route.match?.pathPrefix ?? '/',
    methods: new Set(route.match?.methods),
    headers: Object.entries(route.match?.headers ?? {}),
  },
  pool: route.pool,
  job: route.job && {
    name: route.job.name,
    scorerPool: route.job.scorerPool || undefined,
    maxStepsInFlight: route.job.maxStepsInFlight ?? 2,
    share: route.job.share ?? 1,
  },
  idempotent: route.idempotent ?? true,
  priority: route.priority || (route.job ? Priority.TRAINING : Priority.CALLER),
  timeoutMs: route.timeoutMs ?? 30_000,
  retryBudgetFraction: route.retryBudgetFraction ?? 0.1,
  limitPerCaller: {
    maxConcurrent: route.limitPerCaller?.maxConcurrent ?? Infinity,
    maxRequestsPerSecond: route.limitPerCaller?.maxRequestsPerSecond ?? Infinity,
  },
});

const resolvePool = (pool: Pool) => ({
  name: pool.name,
  protocol: pool.protocol as Protocol.MODEL_ENGINE | Protocol.PLAIN_SERVICE,
  workers: pool.workers.map(({ name, address, availabilityZone }) => ({
    name,
    address,
    availabilityZone,
  })),
  fromVmList: pool.fromVmList && { label: pool.fromVmList.label, port: pool.fromVmList.port },
  fencing: pool.fencing || Fencing.IGNORED,
  maxConcurrentPerWorker: pool.maxConcurrentPerWorker ?? 64,
  maxQueued: pool.maxQueued ?? 256,
  maxBodyBytes: pool.maxBodyBytes ?? 1024 * 1024,
  objective: {
    trainerIdleWeight: pool.objective?.trainerIdleWeight ?? 1,
    stalenessWeight: pool.objective?.stalenessWeight ?? 1,
    maxStalenessVersions: pool.objective?.maxStalenessVersions ?? 4,
  },
  rollout: pool.rollout || RolloutStrategy.ROLLING,
});

/** A route with all defaults applied. */
export type ResolvedRoute = ReturnType<typeof resolveRoute>;

/** A pool with all defaults applied. */
export type ResolvedPool = ReturnType<typeof resolvePool>;

/** One accepted revision of the routes and pools, with all defaults applied. */
export interface ResolvedTables {
  readonly revision: number;
  readonly routes: readonly ResolvedRoute[];
  readonly pools: ReadonlyMap<string, ResolvedPool>;
  /** The tables as written by the operator. */
  readonly source: Tables;
}

/** Applies the defaults that are documented in `tables.proto`. The tables must have passed `checkTables`. */
export const resolveTables = (source: Tables, revision: number): ResolvedTables => ({
  revision,
  routes: source.routes.map(resolveRoute),
  pools: new Map(source.pools.map((pool) => [pool.name, resolvePool(pool)])),
  source,
});
