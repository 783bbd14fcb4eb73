/** How long requests take at a server while it works at its usual speed. */
import type {Millis} from '@goldcresthill/types';

/** Time over which all finished requests are averaged, milliseconds. */
const MEMORY_MS = 500;
const MIN_WEIGHT = 0.002;
/** Weight of the newest request of a route. */
const ROUTE_WEIGHT = 0.1;
/** Bounds the memory of routes that come and go with configurations. */
const MAX_ROUTES = 1_000;

/** Averages over all requests and by route, as the work of routes differs. */
export class WorkTimes {
  private readonly routes = new Map<string, Millis>();
  private average: Millis | undefined;
  private lastAt: Millis = 0;

  /** Takes the time of a finished request at usual speed. */
  learn(now: Millis, route: string, took: Millis): void {
    this.learnAverage(now, took);
    const known = this.routes.get(route);
    if (known === undefined && this.routes.size >= MAX_ROUTES) {
      this.routes.clear();
    }
    const before = known ?? took;
    this.routes.set(route, before + ROUTE_WEIGHT * (took - before));
  }

  /** Average of a route, of all requests while it is new; undefined while nothing is known. */
  of(route: string): Millis | undefined {
    return this.routes.get(route) ?? this.average;
  }

  /** Average of all finished requests; 0 while nothing is known. */
  get averageMs(): Millis {
    return this.average ?? 0;
  }

  /** When a request last taught anything. */
  get learntAt(): Millis {
    return this.lastAt;
  }

  private learnAverage(now: Millis, took: Millis): void {
    const forgotten = 1 - Math.exp((this.lastAt - now) / MEMORY_MS);
    const weight = Math.max(MIN_WEIGHT, forgotten);
    const before = this.average ?? took;
    this.average = before + weight * (took - before);
    this.lastAt = now;
  }
}
