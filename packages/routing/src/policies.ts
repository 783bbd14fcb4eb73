/** Baseline routing policies, and the factory of all policies. */
import type {PolicyName, ServiceRules} from '@goldcresthill/types';
import {ALL_SCORING_FEATURES, ExpectedTimePolicy} from './expected_time';
import {RoutingPolicy} from './routing_policy';
import type {PolicyChoice, PolicyContext, Random} from './routing_policy';
import type {ServerView} from './server_view';

function candidateAt(
  candidates: readonly ServerView[],
  index: number,
): ServerView {
  const view = candidates[index];
  if (view === undefined) throw new RangeError(`no candidate ${index}`);
  return view;
}

/** Returns two different random indexes below `count`, or index 0 twice if `count` is 1. */
export function sampleTwo(count: number, random: Random): [number, number] {
  const first = Math.floor(random() * count);
  if (count === 1) return [first, first];
  const other = Math.floor(random() * (count - 1));
  return [first, other >= first ? other + 1 : other];
}

class RandomPolicy extends RoutingPolicy {
  override readonly name = 'random';

  override choose(
    candidates: readonly ServerView[],
    context: PolicyContext,
  ): PolicyChoice {
    const index = Math.floor(context.random() * candidates.length);
    return {view: candidateAt(candidates, index), reason: 'random'};
  }
}

class RoundRobinPolicy extends RoutingPolicy {
  override readonly name = 'roundRobin';
  private next = 0;

  override choose(candidates: readonly ServerView[]): PolicyChoice {
    const view = candidateAt(candidates, this.next++ % candidates.length);
    return {view, reason: 'next in turn'};
  }
}

class LeastReportedPolicy extends RoutingPolicy {
  override readonly name = 'leastReported';

  override choose(
    candidates: readonly ServerView[],
    context: PolicyContext,
  ): PolicyChoice {
    const start = Math.floor(context.random() * candidates.length);
    let best = candidateAt(candidates, start);
    for (let i = 1; i < candidates.length; i++) {
      const view = candidateAt(candidates, (start + i) % candidates.length);
      if (reportedLoad(view) < reportedLoad(best)) best = view;
    }
    return {view: best, reason: 'least in flight as reported'};
  }
}

function reportedLoad(view: ServerView): number {
  return (view.report?.inFlight ?? 0) + (view.report?.queued ?? 0);
}

class PowerOfTwoPolicy extends RoutingPolicy {
  override readonly name = 'powerOfTwo';

  override choose(
    candidates: readonly ServerView[],
    context: PolicyContext,
  ): PolicyChoice {
    const [i, j] = sampleTwo(candidates.length, context.random);
    const a = candidateAt(candidates, i);
    const b = candidateAt(candidates, j);
    return {
      view: b.ownInFlight < a.ownInFlight ? b : a,
      reason: 'fewer own of two',
    };
  }
}

const FACTORIES: Record<PolicyName, () => RoutingPolicy> = {
  expectedTime: () => new ExpectedTimePolicy(),
  random: () => new RandomPolicy(),
  roundRobin: () => new RoundRobinPolicy(),
  leastReported: () => new LeastReportedPolicy(),
  powerOfTwo: () => new PowerOfTwoPolicy(),
};

/** Creates the policy of a service's rules. */
export function createPolicy({
  policy,
  disabled,
}: Pick<ServiceRules, 'policy' | 'disabled'>): RoutingPolicy {
  if (policy !== 'expectedTime') return FACTORIES[policy]();
  return new ExpectedTimePolicy({
    ...ALL_SCORING_FEATURES,
    locality: !disabled.includes('locality'),
    errors: !disabled.includes('errorPenalty'),
  });
}
