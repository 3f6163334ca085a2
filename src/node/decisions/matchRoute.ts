import type { ResolvedRoute, ResolvedTables } from '../tables/resolveTables.ts';

/** The parts of a request that routes look at. */
export interface RequestAttributes {
  readonly method: string;
  /** Path without query. */
  readonly path: string;
  /** Name by which the caller calls itself; empty when it gave none. */
  readonly caller: string;
  /** Header names in lower case. */
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

const isBelow = (path: string, prefix: string): boolean =>
  path === prefix || path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`);

const matches = ({ match }: ResolvedRoute, request: RequestAttributes): boolean =>
  (match.callers.size === 0 || match.callers.has(request.caller)) &&
  (match.methods.size === 0 || match.methods.has(request.method)) &&
  isBelow(request.path, match.pathPrefix) &&
  match.headers.every(([name, value]) => request.headers[name] === value);

/** The first route that matches a caller's request. Routes with a job only serve the trainer interface. */
export const matchRoute = (
  tables: ResolvedTables,
  request: RequestAttributes,
): ResolvedRoute | undefined =>
  tables.routes.find((route) => route.job === undefined && matches(route, request));
