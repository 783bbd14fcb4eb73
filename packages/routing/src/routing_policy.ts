/** What every way to choose has in common. */
import type {Micros, Millis, PolicyName} from '@goldcresthill/types';
import type {ServerView} from './server_view';

/** Uniform numbers in [0, 1); seeded in trials. */
export type Random = () => number;

/** What a policy may look at besides the candidates. */
export interface PolicyContext {
  readonly now: Millis;
  readonly random: Random;
  /** Median time at the servers of this service. */
  readonly medianServiceUs: Micros;
  /** Failure domain of the gateway. */
  readonly domain?: string;
  /** Share of the median time by which a server of another domain must be better. */
  readonly crossDomainShare?: number;
  /** Whether the scores of all candidates are wanted. */
  readonly explain?: boolean;
}

/** A choice and why it was made. */
export interface PolicyChoice {
  readonly view: ServerView;
  readonly reason: string;
  /** Expected time, where the policy works one out. */
  readonly scoreUs?: Micros;
  /** Scores of all candidates, if asked for. */
  readonly scores?: Readonly<Record<string, Micros>>;
}

/** A way to choose. Candidates are never empty. */
export abstract class RoutingPolicy {
  abstract readonly name: PolicyName;
  abstract choose(
    candidates: readonly ServerView[],
    context: PolicyContext,
  ): PolicyChoice;
}
