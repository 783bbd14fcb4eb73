/** Matches requests to routes by host and path prefix. */
import type {Route} from './route';

/** Routes whose prefixes begin with the same segments. */
interface PrefixNode {
  route: Route | undefined;
  readonly children: Map<string, PrefixNode>;
}

/** Routes of one configuration. A match costs as much as the path is long, at most. */
export class RouteTable {
  /** Routes by host, as trees of the segments of their prefixes. */
  private readonly rootsByHost = new Map<string, PrefixNode>();

  constructor(routes: readonly Route[] = []) {
    for (const route of routes) {
      const root = this.rootsByHost.get(route.host) ?? createNode();
      this.rootsByHost.set(route.host, root);
      let node = root;
      for (const segment of segmentsOf(route.pathPrefix)) {
        const child = node.children.get(segment) ?? createNode();
        node.children.set(segment, child);
        node = child;
      }
      node.route = route;
    }
  }

  /**
   * Returns the route with the longest prefix of the path; undefined if none
   * matches. The host's port, its case and the query string are ignored.
   */
  match(host: string, path: string): Route | undefined {
    let node = this.rootsByHost.get(normalizeHost(host));
    let found = node?.route;
    for (const segment of segmentsOf(withoutQuery(path))) {
      node = node?.children.get(segment);
      if (node === undefined) break;
      found = node.route ?? found;
    }
    return found;
  }
}

function createNode(): PrefixNode {
  return {route: undefined, children: new Map()};
}

/** Yields the segments of a path that end with a slash, the empty one before the first slash included. */
function* segmentsOf(path: string): Generator<string> {
  let start = 0;
  for (;;) {
    const end = path.indexOf('/', start);
    if (end < 0) return;
    yield path.slice(start, end);
    start = end + 1;
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
