/** Terms on which tokens of an account are granted, derived from its cap and from the bounds of the deployment. */
import type {Millis} from '@goldcresthill/types';

/** Cap of an account over all nodes together. */
export interface AccountCap {
  readonly ratePerSecond: number;
  readonly burst: number;
}

/**
 * Bounds of the rule QUOTA: in any window, the requests of an account are at
 * most (rate × window + burst) × (1 + overshoot) + slack.
 */
export interface QuotaBounds {
  readonly windowMs: Millis;
  readonly overshoot: number;
  readonly slack: number;
}

/** Longest time for which a gateway may use a token, from its query, milliseconds. */
export const MAX_VALIDITY_MS = 500;
/** Shortest validity, milliseconds: tokens must outlast the round trip. Reached only if both overshoot and slack are near 0. */
const MIN_VALIDITY_MS = 50;
/** Share of the slack by which a bucket exceeds the burst; makes up for tokens that were lost with an answer or expired. */
const SPARE_SHARE = 0.25;
/** Share of the slack reserved for tokens that were granted before the window and are used in it. */
const VALIDITY_SHARE = 0.25;
/** Share of the slack that allocators which take over an account within one window start with, all together. */
const INITIAL_SHARE = 0.5;
const MILLIS_PER_SECOND = 1_000;

/**
 * A token that is used in a window was granted at most `validityMs` before it,
 * so the grants that count for a window are those of `windowMs + validityMs`:
 * at most rate × (windowMs + validityMs) + capacity, plus the initial tokens of
 * each allocator that took over meanwhile. The shares of the slack add up to 1.
 */
export class QuotaTerms {
  constructor(
    private readonly bounds: QuotaBounds,
    /** Time after a change of allocators before the next one, at the least, milliseconds. */
    private readonly leaseMs: Millis,
  ) {}

  /** Tokens that an unused bucket holds. */
  capacityOf({burst}: AccountCap): number {
    return burst + this.bounds.slack * SPARE_SHARE;
  }

  /** Tokens that an allocator starts with when it takes over an account. */
  get initialTokens(): number {
    const {windowMs, slack} = this.bounds;
    const takeovers =
      1 + Math.ceil((windowMs + MAX_VALIDITY_MS) / this.leaseMs);
    return (slack * INITIAL_SHARE) / takeovers;
  }

  /** Time from a gateway's query for which it may use a granted token, milliseconds. */
  validityMsOf({ratePerSecond, burst}: AccountCap): Millis {
    const {windowMs, overshoot, slack} = this.bounds;
    const inWindow = (ratePerSecond * windowMs) / MILLIS_PER_SECOND + burst;
    const spare = inWindow * overshoot + slack * VALIDITY_SHARE;
    const validityMs = (spare / ratePerSecond) * MILLIS_PER_SECOND;
    return Math.min(MAX_VALIDITY_MS, Math.max(MIN_VALIDITY_MS, validityMs));
  }
}
