import type { GatewayRoute } from './gatewayTables.ts';

/** Finds the route of a request: among the routes of its host, the one with the longest matching path prefix. */
export class RouteIndex {
  readonly #byHost = new Map<string, Map<string, GatewayRoute>>();

  constructor(routes: readonly GatewayRoute[]) {
    for (const route of routes) {
      const host = route.host.toLowerCase();
      const byPrefix = this.#byHost.get(host) ?? new Map<string, GatewayRoute>();
      byPrefix.set(route.pathPrefix, route);
      this.#byHost.set(host, byPrefix);
    }
  }

  /**
   * @param host - value of the `host` header; a port is ignored
   * @param path - path without the query string
   */
  find(host: string, path: string): GatewayRoute | undefined {
    const byPrefix = this.#byHost.get(host.replace(/:\d+$/, '').toLowerCase());
    if (byPrefix === undefined) return undefined;
    for (let end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      const route = byPrefix.get(path.slice(0, end + 1));
      if (route !== undefined) return route;
      if (end === 0) break;
    }
    return undefined;
  }
}
