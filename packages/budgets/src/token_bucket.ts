/** A token bucket on a clock that is passed in. */
import {invariant} from '@goldcresthill/types';
import type {Millis} from '@goldcresthill/types';

/** How fast a bucket fills and how much it holds. */
export interface TokenBucketOptions {
  /** Tokens added per second. */
  readonly perSecond: number;
  /** Most tokens held at once; one second's worth unless given. */
  readonly burst?: number;
}

const MILLIS_PER_SECOND = 1_000;
/** Rounding slack of the assertion, tokens. */
const ROUNDING_TOLERANCE = 1e-6;

/**
 * Grants at most `burst + perSecond × elapsed` tokens over any stretch of time
 * since its start. A clock that steps back adds nothing.
 */
export class TokenBucket {
  private tokens: number;
  private perSecond: number;
  private burst: number;
  private lastRefillAt: Millis;
  // The window over which the bound is asserted starts anew on each change of rate.
  private granted = 0;
  private allowance: number;

  constructor(now: Millis, options: TokenBucketOptions) {
    this.perSecond = options.perSecond;
    this.burst = options.burst ?? options.perSecond;
    this.tokens = this.burst;
    this.allowance = this.burst;
    this.lastRefillAt = now;
  }

  /** Takes tokens if there are enough. */
  take(now: Millis, count = 1): boolean {
    this.refill(now);
    if (this.tokens < count) return false;
    this.tokens -= count;
    this.granted += count;
    invariant(
      this.granted <= this.allowance + ROUNDING_TOLERANCE,
      'budget',
      () => `${this.granted} tokens granted, ${this.allowance} allowed`,
    );
    return true;
  }

  /** Tokens that could be taken now. */
  available(now: Millis): number {
    this.refill(now);
    return this.tokens;
  }

  /** Milliseconds until the tokens are there; infinite if they never will be. */
  waitMs(now: Millis, count = 1): Millis {
    this.refill(now);
    if (this.tokens >= count) return 0;
    if (count > this.burst || this.perSecond === 0) return Infinity;
    return ((count - this.tokens) / this.perSecond) * MILLIS_PER_SECOND;
  }

  /** Changes the rate. Tokens above the new burst are dropped. */
  configure(now: Millis, options: TokenBucketOptions): void {
    this.refill(now);
    this.perSecond = options.perSecond;
    this.burst = options.burst ?? options.perSecond;
    this.tokens = Math.min(this.tokens, this.burst);
    this.granted = 0;
    this.allowance = this.tokens;
  }

  private refill(now: Millis): void {
    const elapsed = Math.max(0, now - this.lastRefillAt);
    this.lastRefillAt = Math.max(this.lastRefillAt, now);
    const added = (elapsed / MILLIS_PER_SECOND) * this.perSecond;
    this.tokens = Math.min(this.burst, this.tokens + added);
    this.allowance += added;
  }
}
