/** A route: the requests that it matches, their services and their limits. */
import type {Millis} from '@goldcresthill/types';

/** A service and its share of a route's calls. */
export interface WeightedService {
  readonly service: string;
  /** Share relative to the sum of all weights of the route. */
  readonly weight: number;
}

/** Configuration of one route. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Path prefix that begins and ends with a slash. */
  readonly pathPrefix: string;
  /** Empty if the entry is invalid or no service has a weight; its requests are then refused. */
  readonly services: readonly WeightedService[];
  /** Whether its calls are idempotent. */
  readonly repeatable: boolean;
  /** Most servers that may run one call. */
  readonly maxAttempts: number;
  /** Upper bound of a call's deadline, and the default if the caller sends none, milliseconds. */
  readonly timeoutMs: Millis;
  /** Target latency, milliseconds; an answer within it has its full value to the caller. */
  readonly objectiveMs: Millis;
  /** Priority of the calls; 0 is the highest. */
  readonly priority: number;
  /** Whether its calls need no API key. */
  readonly isPublic?: boolean;
}
