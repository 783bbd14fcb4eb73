/** Service times of requests at a server that runs at its usual speed. */
import type {Millis} from '@goldcresthill/types';

/** Time constant of the exponential average over all finished requests, milliseconds. */
const AVERAGING_TIME_CONSTANT_MS = 500;
/** Least weight of a request in that average, also when many finish at the same time. */
const MIN_AVERAGE_WEIGHT = 0.002;
/** Weight of the latest request in the average of its route. */
const ROUTE_SMOOTHING_FACTOR = 0.1;
/** Bounds the memory for routes, which come and go with configuration changes. */
const MAX_ROUTES = 1_000;

/** Averages service times over all requests and by route, as routes differ in their work. */
export class ServiceTimeEstimator {
  private readonly routes = new Map<string, Millis>();
  private average: Millis | undefined;
  private lastRecordedAt: Millis = 0;

  /** Records the service time of a finished request, scaled to usual speed. */
  record(now: Millis, route: string, serviceMs: Millis): void {
    this.recordAverage(now, serviceMs);
    const known = this.routes.get(route);
    if (known === undefined && this.routes.size >= MAX_ROUTES) {
      this.routes.clear();
    }
    const before = known ?? serviceMs;
    this.routes.set(
      route,
      before + ROUTE_SMOOTHING_FACTOR * (serviceMs - before),
    );
  }

  /** Average of a route, or of all requests if the route is new; undefined if nothing has been recorded. */
  averageFor(route: string): Millis | undefined {
    return this.routes.get(route) ?? this.average;
  }

  /** Average of all finished requests; 0 if nothing has been recorded. */
  get averageMs(): Millis {
    return this.average ?? 0;
  }

  /** When a service time was last recorded; 0 if never. */
  get recordedAt(): Millis {
    return this.lastRecordedAt;
  }

  private recordAverage(now: Millis, serviceMs: Millis): void {
    const decayWeight =
      1 - Math.exp((this.lastRecordedAt - now) / AVERAGING_TIME_CONSTANT_MS);
    const weight = Math.max(MIN_AVERAGE_WEIGHT, decayWeight);
    const before = this.average ?? serviceMs;
    this.average = before + weight * (serviceMs - before);
    this.lastRecordedAt = now;
  }
}
