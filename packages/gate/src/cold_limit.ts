/** Limit on the requests that a server gets while it is cold. */
import {TokenBucket} from '@goldcresthill/budgets';
import type {Millis} from '@goldcresthill/types';

/** What a service's servers tolerate while they are cold. */
export interface ColdRate {
  /** Requests per second over a longer time; 0 for no limit. */
  readonly perSecond: number;
  /** Further requests in any one second. */
  readonly burst: number;
}

/** Time over which requests are counted: a second, and 10 ms by which the clocks of two processes may differ over it. */
const WINDOW_MS = 1_010;
/** Smallest burst, requests. A bucket that holds less than one token grants nothing. */
const MIN_BURST = 1;

/**
 * Grants a cold server `perSecond` requests a second and a burst, and in any
 * second no more than `perSecond + burst`. Requests that started before the
 * server was known to be cold count too, so starts are also recorded while it
 * is warm.
 */
export class ColdLimit {
  /** Times of the newest starts, oldest first; as many as one second may have. */
  private starts: Millis[] = [];
  private rate: ColdRate | undefined;
  private maxPerWindow = 0;
  private bucket: TokenBucket | undefined;
  private coldUntil: Millis = -Infinity;
  /** Last start, also while there is no rate and starts are not recorded one by one. */
  private startedAt: Millis;

  /** `usedAt` is the latest time at which requests that this object does not know of may have started. */
  constructor(usedAt: Millis = -Infinity) {
    this.startedAt = usedAt;
  }

  /** Sets what the server tolerates. As many requests as it allows are taken to have started when the last one did before. */
  configure({perSecond, burst}: ColdRate): void {
    const rate = {perSecond, burst: Math.max(MIN_BURST, burst)};
    const isSame =
      perSecond === (this.rate?.perSecond ?? 0) &&
      rate.burst === (this.rate?.burst ?? rate.burst);
    if (isSame) return;
    this.bucket = undefined;
    this.rate = perSecond > 0 ? rate : undefined;
    this.maxPerWindow = Math.max(1, Math.floor(perSecond + rate.burst));
    this.starts = Array.from({length: this.maxPerWindow}, () => this.startedAt);
  }

  /** Records that the server stays cold for a time. The longest of the known times applies. */
  setCold(now: Millis, coldMs: Millis): void {
    if (!(coldMs > 0)) return;
    if (!this.isCold(now)) this.bucket = undefined;
    this.coldUntil = Math.max(this.coldUntil, now + coldMs);
  }

  /** Whether the server is cold, as far as is known. */
  isCold(now: Millis): boolean {
    return now < this.coldUntil;
  }

  /** Requests that may start now; infinite without a limit. */
  startable(now: Millis): number {
    const bucket = this.activeBucket(now);
    if (bucket === undefined) return Infinity;
    const tokens = Math.floor(bucket.available(now));
    return Math.max(0, Math.min(tokens, this.freeInWindow(now)));
  }

  /** Counts a request that starts. The caller has checked that it may. */
  record(now: Millis): void {
    this.activeBucket(now)?.take(now);
    this.startedAt = now;
    if (this.rate === undefined) return;
    this.starts.push(now);
    if (this.starts.length > this.maxPerWindow) this.starts.shift();
  }

  /** Time until a request may start that has `ahead` others before it, milliseconds. */
  waitMs(now: Millis, ahead: number): Millis {
    const bucket = this.activeBucket(now);
    if (bucket === undefined || this.startable(now) > ahead) return 0;
    const missing = ahead + 1 - bucket.available(now);
    const bucketMs = missing * bucket.waitPerTokenMs;
    // The start that has to leave the window first.
    const before = this.starts[Math.min(ahead, this.starts.length - 1)];
    const windowMs = (before ?? -Infinity) + WINDOW_MS - now;
    const warmMs = this.coldUntil - now;
    return Math.min(warmMs, Math.max(0, bucketMs, windowMs));
  }

  /** The bucket of the time for which the server is cold; undefined without a limit. */
  private activeBucket(now: Millis): TokenBucket | undefined {
    if (this.rate === undefined || !this.isCold(now)) return undefined;
    if (this.bucket !== undefined) return this.bucket;
    this.bucket = new TokenBucket(now, this.rate);
    const used = this.maxPerWindow - this.freeInWindow(now);
    this.bucket.take(now, Math.min(used, this.rate.burst));
    return this.bucket;
  }

  private freeInWindow(now: Millis): number {
    const recent = this.starts.filter(at => now - at <= WINDOW_MS);
    return this.maxPerWindow - recent.length;
  }
}
