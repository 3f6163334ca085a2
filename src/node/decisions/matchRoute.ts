import type { ResolvedRoute, ResolvedTables } from '../tables/resolveTables.ts';

/** The parts of a request that routes are matched against. */
export interface RequestAttributes {
  readonly method: string;
  /** Path without query. */
  readonly path: string;
  /** Name that the caller states for itself; empty when it states none. */
  readonly caller: string;
  /** Header names in lower case. */
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

const isUnderPrefix = (path: string, prefix: string): boolean =>
  path === prefix || path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`);

const matches = ({ match }: ResolvedRoute, request: RequestAttributes): boolean =>
  (match.callers.size === 0 || match.callers.has(request.caller)) &&
  (match.methods.size === 0 || match.methods.has(request.method)) &&
  isUnderPrefix(request.path, match.pathPrefix) &&
  match.headers.every(([name, value]) => request.headers[name] === value);

/** Returns the first route that matches a request. Skips routes with a job, which only serve the trainer interface. */
export const matchRoute = (
  tables: ResolvedTables,
  request: RequestAttributes,
): ResolvedRoute | undefined =>
  tables.routes.find((route) => route.job === undefined && matches(route, request));
