/** Policy with perfect knowledge, to measure the distance to it. */
import {RoutingPolicy} from '@goldcresthill/routing';
import type {PolicyChoice, ServerView} from '@goldcresthill/routing';

/** How far the policies are from perfect knowledge. */
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
