/** A policy with perfect information, the reference for the real policies. */
import {RoutingPolicy} from '@goldcresthill/routing';
import type {PolicyChoice, ServerView} from '@goldcresthill/routing';

/** Chooses the server with the shortest true response time, which no gateway can know. */
export class IdealPolicy extends RoutingPolicy {
  override readonly name = 'expectedTime';

  constructor(private readonly trueTimeMs: (id: string) => number) {
    super();
  }

  override choose(candidates: readonly ServerView[]): PolicyChoice {
    const best = candidates.reduce((a, b) =>
      this.trueTimeMs(b.id) < this.trueTimeMs(a.id) ? b : a,
    );
    return {view: best, reason: 'shortest true time'};
  }
}
