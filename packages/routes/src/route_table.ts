/** Matches requests to routes by host and path prefix. */
import type {Route} from './route';

/** Routes of one configuration. A match costs at most one lookup for each slash of the path. */
export class RouteTable {
  private readonly routesByHost = new Map<string, Map<string, Route>>();

  constructor(routes: readonly Route[] = []) {
    for (const route of routes) {
      const routesByPrefix =
        this.routesByHost.get(route.host) ?? new Map<string, Route>();
      routesByPrefix.set(route.pathPrefix, route);
      this.routesByHost.set(route.host, routesByPrefix);
    }
  }

  /**
   * Returns the route with the longest prefix of the path; undefined if none
   * matches. The host's port, its case and the query string are ignored.
   */
  match(host: string, path: string): Route | undefined {
    const routesByPrefix = this.routesByHost.get(normalizeHost(host));
    if (routesByPrefix === undefined) return undefined;
    const pathname = withoutQuery(path);
    let end = pathname.lastIndexOf('/');
    while (end >= 0) {
      const route = routesByPrefix.get(pathname.slice(0, end + 1));
      if (route !== undefined) return route;
      end = end === 0 ? -1 : pathname.lastIndexOf('/', end - 1);
    }
    return undefined;
  }
}

function normalizeHost(host: string): string {
  const colon = host.indexOf(':');
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase();
}

function withoutQuery(path: string): string {
  const queryStart = path.indexOf('?');
  return queryStart < 0 ? path : path.slice(0, queryStart);
}
