/** Rate limit that a server advertises in its answers. */
import {TokenBucket} from '@goldcresthill/budgets';
import type {Millis} from '@goldcresthill/types';

/** Burst, as the requests that the rate allows in this time. */
const BURST_SECONDS = 0.5;
/** Lowest rate, requests per second. A server that advertises 0 still gets a request now and then, as only its answers end the limit. */
const MIN_PER_SECOND = 0.25;
/** Time without a request or load check after which a check may take the last token, milliseconds. */
const MAX_CHECK_INTERVAL_MS = 1_000;
/** Share of the burst that checks leave to requests until then. */
const CHECK_RESERVE_SHARE = 0.5;

/** Grants at most `rate × time + max(1, rate / 2)` requests over any time during which the server advertises the same rate. */
export class RequestRateLimit {
  private bucket: TokenBucket | undefined;
  private perSecond: number | undefined;
  private burst = 0;
  private sentAt: Millis = -Infinity;

  /** Applies the rate that the server advertises, requests per second; undefined ends the limit. */
  configure(now: Millis, perSecond: number | undefined): void {
    if (perSecond === this.perSecond) return;
    this.perSecond = perSecond;
    if (perSecond === undefined) {
      this.bucket = undefined;
      return;
    }
    const rate = Math.max(MIN_PER_SECOND, perSecond);
    this.burst = Math.max(1, rate * BURST_SECONDS);
    const options = {perSecond: rate, burst: this.burst};
    if (this.bucket === undefined) this.bucket = new TokenBucket(now, options);
    else this.bucket.configure(now, options);
  }

  /** Requests per second, as advertised by the server; undefined without a limit. */
  get rate(): number | undefined {
    return this.perSecond;
  }

  /** Requests that may start now; infinite without a limit. */
  startable(now: Millis): number {
    if (this.bucket === undefined) return Infinity;
    return Math.floor(this.bucket.available(now));
  }

  /** Counts a request that starts; returns false if none may. */
  take(now: Millis): boolean {
    if (this.bucket === undefined) return true;
    if (!this.bucket.take(now)) return false;
    this.sentAt = now;
    return true;
  }

  /** Counts a load check, which reaches the server like a request; returns false if it may not be sent now. */
  takeCheck(now: Millis): boolean {
    if (this.bucket === undefined) return true;
    const reserve =
      now - this.sentAt < MAX_CHECK_INTERVAL_MS
        ? this.burst * CHECK_RESERVE_SHARE
        : 0;
    return this.bucket.available(now) - 1 >= reserve && this.take(now);
  }

  /** Time until a request may start that has `ahead` others before it. */
  waitMs(now: Millis, ahead: number): Millis {
    if (this.bucket === undefined) return 0;
    const missing = ahead + 1 - this.bucket.available(now);
    return Math.max(0, missing * this.bucket.waitPerTokenMs);
  }
}
