/** Ways to choose among candidates: the baselines, and the table of all. */
import type {PolicyName} from '@goldcresthill/types';
import {ExpectedTimePolicy} from './expected_time';
import {RoutingPolicy} from './routing_policy';
import type {Choice, PolicyContext, Random} from './routing_policy';
import type {ServerView} from './server_view';

function at(candidates: readonly ServerView[], index: number): ServerView {
  const view = candidates[index];
  if (view === undefined) throw new RangeError(`no candidate ${index}`);
  return view;
}

/** Two different positions below a count, or the same one if there is one only. */
export function twoOf(count: number, random: Random): [number, number] {
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
  ): Choice {
    const index = Math.floor(context.random() * candidates.length);
    return {view: at(candidates, index), reason: 'random'};
  }
}

class RoundRobinPolicy extends RoutingPolicy {
  override readonly name = 'roundRobin';
  private next = 0;

  override choose(candidates: readonly ServerView[]): Choice {
    const view = at(candidates, this.next++ % candidates.length);
    return {view, reason: 'next in turn'};
  }
}

class LeastReportedPolicy extends RoutingPolicy {
  override readonly name = 'leastReported';

  override choose(
    candidates: readonly ServerView[],
    context: PolicyContext,
  ): Choice {
    const start = Math.floor(context.random() * candidates.length);
    let best = at(candidates, start);
    for (let i = 1; i < candidates.length; i++) {
      const view = at(candidates, (start + i) % candidates.length);
      if (reported(view) < reported(best)) best = view;
    }
    return {view: best, reason: 'least in flight as reported'};
  }
}

function reported(view: ServerView): number {
  return (view.report?.inFlight ?? 0) + (view.report?.queued ?? 0);
}

class PowerOfTwoPolicy extends RoutingPolicy {
  override readonly name = 'powerOfTwo';

  override choose(
    candidates: readonly ServerView[],
    context: PolicyContext,
  ): Choice {
    const [i, j] = twoOf(candidates.length, context.random);
    const a = at(candidates, i);
    const b = at(candidates, j);
    return {view: b.own < a.own ? b : a, reason: 'fewer own of two'};
  }
}

const FACTORIES: Record<PolicyName, () => RoutingPolicy> = {
  expectedTime: () => new ExpectedTimePolicy(),
  random: () => new RandomPolicy(),
  roundRobin: () => new RoundRobinPolicy(),
  leastReported: () => new LeastReportedPolicy(),
  powerOfTwo: () => new PowerOfTwoPolicy(),
};

/** Makes the policy of a name. */
export function policyOf(name: PolicyName): RoutingPolicy {
  return FACTORIES[name]();
}
