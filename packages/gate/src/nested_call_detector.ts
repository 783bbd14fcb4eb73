/** Distinguishes calls made by servers from calls made by clients, by the services of the VMs that they come from. */

/** Requests of a route before its origins are conclusive. */
const MIN_REQUESTS = 40;
/** Requests of a route at which its counts are halved, so that older requests lose weight. */
const HALVE_AT_REQUESTS = 400;
/** Bounds the memory for routes. */
const MAX_ROUTES = 1_000;

type OriginCounts = Map<string, number>;

/**
 * Clients run on all VMs, so their requests on a route come from VMs of every
 * service. The calls of servers come only from VMs of their own service.
 */
export class NestedCallDetector {
  private readonly routes = new Map<string, OriginCounts>();
  private readonly origins = new Set<string>();

  /**
   * Records a request from a VM of the service `origin`; returns true if the
   * requests of its route are calls made by servers.
   */
  observe(route: string, origin: string): boolean {
    if (route === '' || origin === '') return false;
    this.origins.add(origin);
    const counts = this.countsOf(route);
    counts.set(origin, (counts.get(origin) ?? 0) + 1);
    if (sum(counts) >= HALVE_AT_REQUESTS) halve(counts);
    return this.isNested(route, origin);
  }

  /** Whether the requests of a route are calls made by servers of the service `origin`. */
  isNested(route: string, origin: string): boolean {
    const counts = this.routes.get(route);
    if (counts === undefined || this.origins.size < 2) return false;
    const hasOneOrigin = counts.size === 1 && counts.has(origin);
    return hasOneOrigin && sum(counts) >= MIN_REQUESTS;
  }

  private countsOf(route: string): OriginCounts {
    const known = this.routes.get(route);
    if (known !== undefined) return known;
    if (this.routes.size >= MAX_ROUTES) this.routes.clear();
    const counts: OriginCounts = new Map();
    this.routes.set(route, counts);
    return counts;
  }
}

function sum(counts: OriginCounts): number {
  let total = 0;
  for (const count of counts.values()) total += count;
  return total;
}

function halve(counts: OriginCounts): void {
  for (const [origin, count] of counts) {
    const half = Math.floor(count / 2);
    if (half === 0) counts.delete(origin);
    else counts.set(origin, half);
  }
}
