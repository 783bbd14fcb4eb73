/** How long requests take at a server while it works at its usual speed. */
import type {Millis} from '@goldcresthill/types';

/** Time over which all finished requests are averaged, milliseconds. */
const AVERAGING_TIME_CONSTANT_MS = 500;
const MIN_AVERAGE_WEIGHT = 0.002;
/** Weight of the newest request of a route. */
const ROUTE_SMOOTHING_FACTOR = 0.1;
/** Bounds the memory of routes that come and go with configurations. */
const MAX_ROUTES = 1_000;

/** Averages over all requests and by route, as the work of routes differs. */
export class ServiceTimeEstimator {
  private readonly routes = new Map<string, Millis>();
  private average: Millis | undefined;
  private lastRecordedAt: Millis = 0;

  /** Takes the time of a finished request at usual speed. */
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

  /** Average of a route, of all requests while it is new; undefined while nothing is known. */
  averageFor(route: string): Millis | undefined {
    return this.routes.get(route) ?? this.average;
  }

  /** Average of all finished requests; 0 while nothing is known. */
  get averageMs(): Millis {
    return this.average ?? 0;
  }

  /** When a request last taught anything. */
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
