/** A route: which requests it takes, where they go and how they are treated. */
import type {Millis} from '@goldcresthill/types';

/** A service and its share of a route's calls. */
export interface WeightedService {
  readonly service: string;
  /** Share relative to the sum of all weights of the route. */
  readonly weight: number;
}

/** Everything that operators decide for one route. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** Empty if the route could not be read; its requests are refused. */
  readonly services: readonly WeightedService[];
  /** Whether running a call twice is harmless. */
  readonly repeatable: boolean;
  /** Most servers that one call may be sent to. */
  readonly maxAttempts: number;
  /** Longest time that a caller is kept waiting, milliseconds. */
  readonly timeoutMs: Millis;
  /** Time within which an answer is worth its full value, milliseconds. */
  readonly objectiveMs: Millis;
  /** Rank of the calls; 0 goes first. */
  readonly priority: number;
}
