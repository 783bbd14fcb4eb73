/** Tells the calls that servers make from those of clients by the services that they come from. */

/** Requests of a route after which its origins mean something. */
const MIN_REQUESTS = 40;
/** Requests after which older ones count half. */
const HALVE_AT_REQUESTS = 400;
const MAX_ROUTES = 1_000;

type OriginCounts = Map<string, number>;

/**
 * Clients are on all VMs, so their requests on a route come from VMs of every
 * service. The calls of servers come from VMs of their own service only.
 */
export class NestedCallDetector {
  private readonly routes = new Map<string, OriginCounts>();
  private readonly origins = new Set<string>();

  /** Takes note of a request; true if those of its route are calls of servers. */
  observe(route: string, origin: string): boolean {
    if (route === '' || origin === '') return false;
    this.origins.add(origin);
    const counts = this.countsOf(route);
    counts.set(origin, (counts.get(origin) ?? 0) + 1);
    const total = sum(counts);
    if (total >= HALVE_AT_REQUESTS) halve(counts);
    return this.origins.size > 1 && counts.size === 1 && total >= MIN_REQUESTS;
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
