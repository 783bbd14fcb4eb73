/** Finds the route of a request. */
import type {Route} from './route';

/** Routes of one configuration. Lookup takes one step for each slash of the path. */
export class RouteTable {
  private readonly hosts = new Map<string, Map<string, Route>>();

  constructor(routes: readonly Route[] = []) {
    for (const route of routes) {
      const prefixes = this.hosts.get(route.host) ?? new Map<string, Route>();
      prefixes.set(route.pathPrefix, route);
      this.hosts.set(route.host, prefixes);
    }
  }

  /** The route with the longest prefix of the path; undefined if there is none. */
  match(host: string, path: string): Route | undefined {
    const prefixes = this.hosts.get(hostName(host));
    if (prefixes === undefined) return undefined;
    const plain = withoutQuery(path);
    let end = plain.lastIndexOf('/');
    while (end >= 0) {
      const route = prefixes.get(plain.slice(0, end + 1));
      if (route !== undefined) return route;
      end = end === 0 ? -1 : plain.lastIndexOf('/', end - 1);
    }
    return undefined;
  }
}

function hostName(host: string): string {
  const colon = host.indexOf(':');
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase();
}

function withoutQuery(path: string): string {
  const query = path.indexOf('?');
  return query < 0 ? path : path.slice(0, query);
}
