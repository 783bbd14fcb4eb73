/** Spreads the times at which refused callers are told to come back. */
import type {Millis} from '@goldcresthill/types';

/** Longest time after the next token that a caller is told to wait, milliseconds. Callers that do not come back must not delay others for longer. */
const MAX_SPREAD_MS = 1_000;
const MILLIS_PER_SECOND = 1_000;

/** Tells each refused caller the time of a token of its own, as far as callers come back. */
export class RetrySchedule {
  private promisedAt: Millis = -Infinity;

  /**
   * Returns the time after which a refused caller may come back, milliseconds.
   * `waitMs` is the time until the next token; `count` callers are refused.
   */
  next(now: Millis, waitMs: Millis, ratePerSecond: number, count = 1): Millis {
    const nextTokenAt = now + waitMs;
    const stepMs = (count * MILLIS_PER_SECOND) / ratePerSecond;
    const promisedAt = Math.max(nextTokenAt, this.promisedAt + stepMs);
    this.promisedAt = Math.min(promisedAt, nextTokenAt + MAX_SPREAD_MS);
    return this.promisedAt - now;
  }
}
