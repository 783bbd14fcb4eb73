/** Rate limit that a server advertises in its answers, and the limit while it is cold. */
import {TokenBucket} from '@goldcresthill/budgets';
import type {Millis} from '@goldcresthill/types';
import {ColdLimit} from './cold_limit';
import type {ColdRate} from './cold_limit';

/** Burst, as the requests that the rate allows in this time. */
const BURST_SECONDS = 0.5;
/** Lowest rate, requests per second. A server that advertises 0 still gets a request now and then, as only its answers end the limit. */
const MIN_PER_SECOND = 0.25;
/** Time without a request or load check after which a check may take the last token, milliseconds. */
const MAX_CHECK_INTERVAL_MS = 1_000;
/** Share of the burst that checks leave to requests until then. */
const CHECK_RESERVE_SHARE = 0.5;

/**
 * Grants at most `rate × time + max(1, rate / 2)` requests over any time during
 * which the server advertises the same rate, and while the server is cold no
 * more than `ColdLimit` grants.
 */
export class RequestRateLimit {
  private bucket: TokenBucket | undefined;
  private perSecond: number | undefined;
  private burst = 0;
  private sentAt: Millis = -Infinity;
  private readonly cold: ColdLimit;

  /** `usedAt` is the latest time at which requests that this object does not know of may have started. */
  constructor(usedAt?: Millis) {
    this.cold = new ColdLimit(usedAt);
  }

  /** Sets what the server tolerates while it is cold. */
  configureCold(rate: ColdRate): void {
    this.cold.configure(rate);
  }

  /** Records that the server stays cold for a time, milliseconds. The longest of the known times applies. */
  setCold(now: Millis, coldMs: Millis): void {
    this.cold.setCold(now, coldMs);
  }

  isCold(now: Millis): boolean {
    return this.cold.isCold(now);
  }

  /** Whether no request may start now because the server is cold. */
  isColdLimited(now: Millis): boolean {
    return this.cold.startable(now) <= 0;
  }

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
    const startable = this.cold.startable(now);
    if (this.bucket === undefined) return startable;
    return Math.min(startable, Math.floor(this.bucket.available(now)));
  }

  /** Counts a request that starts; returns false if none may. */
  take(now: Millis): boolean {
    if (this.cold.startable(now) < 1 || !this.takeToken(now)) return false;
    this.cold.record(now);
    return true;
  }

  /**
   * Counts a load check, which counts towards the rate that a server advertises
   * like a request; returns false if it may not be sent now. The limit of a cold
   * server does not count checks, which have a bound of their own.
   */
  takeCheck(now: Millis): boolean {
    if (this.bucket === undefined) return true;
    const reserve =
      now - this.sentAt < MAX_CHECK_INTERVAL_MS
        ? this.burst * CHECK_RESERVE_SHARE
        : 0;
    return this.bucket.available(now) - 1 >= reserve && this.takeToken(now);
  }

  /** Time until a request may start that has `ahead` others before it. */
  waitMs(now: Millis, ahead: number): Millis {
    const coldMs = this.cold.waitMs(now, ahead);
    if (this.bucket === undefined) return coldMs;
    const missing = ahead + 1 - this.bucket.available(now);
    return Math.max(coldMs, missing * this.bucket.waitPerTokenMs);
  }

  private takeToken(now: Millis): boolean {
    if (this.bucket === undefined) return true;
    if (!this.bucket.take(now)) return false;
    this.sentAt = now;
    return true;
  }
}
