/** A token bucket; the caller passes the current time. */
import {invariant} from '@goldcresthill/types';
import type {Millis} from '@goldcresthill/types';

/** Options of {@link TokenBucket}. */
export interface TokenBucketOptions {
  /** Tokens added per second. */
  readonly perSecond: number;
  /** Capacity of the bucket, tokens; defaults to the tokens of one second. */
  readonly burst?: number;
}

const MILLIS_PER_SECOND = 1_000;
/** Rounding errors that the assertion tolerates, tokens. */
const ROUNDING_TOLERANCE = 1e-6;

/**
 * Grants at most `burst + perSecond × elapsed` tokens over any period since its
 * start. A clock that steps back adds no tokens.
 */
export class TokenBucket {
  private tokens: number;
  private perSecond: number;
  private burst: number;
  private lastRefillAt: Millis;
  // Both are reset on each change of rate, as the bound is asserted for one rate.
  private granted = 0;
  private allowance: number;

  constructor(now: Millis, options: TokenBucketOptions) {
    this.perSecond = options.perSecond;
    this.burst = options.burst ?? options.perSecond;
    this.tokens = this.burst;
    this.allowance = this.burst;
    this.lastRefillAt = now;
  }

  /** Takes tokens if enough are available; returns whether it did. */
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

  /** Tokens that can be taken now. */
  available(now: Millis): number {
    this.refill(now);
    return this.tokens;
  }

  /** Milliseconds in which one token is added; infinite if none is. */
  get waitPerTokenMs(): Millis {
    return MILLIS_PER_SECOND / this.perSecond;
  }

  /** Milliseconds until the tokens are available; infinite if they never will be. */
  waitMs(now: Millis, count = 1): Millis {
    this.refill(now);
    if (this.tokens >= count) return 0;
    if (count > this.burst || this.perSecond === 0) return Infinity;
    return ((count - this.tokens) / this.perSecond) * MILLIS_PER_SECOND;
  }

  /** Changes the rate and the burst. Tokens above the new burst are discarded. */
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
