/** Interface of routing policies. */
import type {Micros, Millis, PolicyName} from '@goldcresthill/types';
import type {ServerView} from './server_view';

/** Returns uniform random numbers in [0, 1); seeded in trials. */
export type Random = () => number;

/** Input of a policy besides the candidates. */
export interface PolicyContext {
  readonly now: Millis;
  readonly random: Random;
  /** Median service time over the servers of this service. */
  readonly medianServiceUs: Micros;
  /** Failure domain of the gateway. */
  readonly domain?: string;
  /** Share of the median service time that is added to the score of servers in other failure domains. */
  readonly crossDomainShare?: number;
  /** Whether to return the score of each candidate. */
  readonly explain?: boolean;
}

/** Server chosen by a policy, with the reason. */
export interface PolicyChoice {
  readonly view: ServerView;
  readonly reason: string;
  /** Expected time; undefined if the policy does not compute one. */
  readonly scoreUs?: Micros;
  /** Scores by server, for each candidate that was scored; only with `explain`. */
  readonly scores?: Readonly<Record<string, Micros>>;
}

/** Chooses one server of a non-empty list of candidates. */
export abstract class RoutingPolicy {
  abstract readonly name: PolicyName;
  abstract choose(
    candidates: readonly ServerView[],
    context: PolicyContext,
  ): PolicyChoice;
}
