/** Requests the load of the server of this VM on demand. */
import type {IncomingHttpHeaders} from 'node:http';
import {TokenBucket} from '@goldcresthill/budgets';
import type {Cancel, Timers} from '@goldcresthill/timers';
import type {Millis, ServiceRules} from '@goldcresthill/types';
import type {ServerConnections} from './server_connections';
import type {ServerInterface, ServerLoad} from './server_interface';

export interface LoadCheckerOptions {
  readonly timers: Timers;
  readonly connections: ServerConnections;
  readonly serverInterface: ServerInterface;
  readonly onLoad: (load: ServerLoad) => void;
  /** Receives the headers of an answer that may not contain the load. */
  readonly onAnswer: (headers: IncomingHttpHeaders) => void;
  /** Counts a check towards the server's rate limit; false if it allows none now. */
  readonly takeCheck: () => boolean;
  /** Whether the server is in a slow period; these are short. */
  readonly isSlow: () => boolean;
  /** Whether requests are queued until the slow period ends. */
  readonly isHolding: () => boolean;
}

/** Maximum age of a load that is used without a new check, milliseconds; a server's speed lasts longer than that. */
const MAX_LOAD_AGE_MS = 15;
/** Longest wait for the server's answer, milliseconds; after it the last known load is used. */
const REFRESH_TIMEOUT_MS = 5;
/** Time after a request for the load during which checks of a slow server continue, milliseconds. */
const DEMAND_WINDOW_MS = 1_000;
/** Intervals of load checks of a slow server without and with queued requests, milliseconds. */
const SLOW_CHECK_INTERVAL_MS = 60;
const HOLDING_CHECK_INTERVAL_MS = 25;
/** Share of the limit on load checks that is used, as the limit applies to all processes of a server together. */
const CHECK_RATE_SHARE = 0.6;
/** Age of the newest check after which a server that may become cold is checked although its load is known, milliseconds. Only checks say that it is cold. */
const COLD_CHECK_INTERVAL_MS = 50;
/** Age of the newest check after which it is not known whether a server has become cold, milliseconds. Far more than checks take while requests arrive. */
const COLD_UNKNOWN_AGE_MS = 1_000;
/** Time until the next check of a server whose answer did not contain its load, milliseconds. */
const NO_LOAD_BACKOFF_MS = 5_000;

/** Runs one load check at a time, within the rate limit of the service's rules. */
export class LoadChecker {
  private readonly bucket: TokenBucket;
  private path = '';
  private checking = false;
  private closed = false;
  private mayBecomeCold = false;
  private updatedAt: Millis = -Infinity;
  private checkedAt: Millis = -Infinity;
  private reportedUnknownAt: Millis = -Infinity;
  private requestedAt: Millis = -Infinity;
  private backoffUntil: Millis = -Infinity;
  private callbacks: Array<() => void> = [];
  private cancelNextCheck: Cancel | undefined;

  constructor(private readonly options: LoadCheckerOptions) {
    const now = options.timers.now();
    this.bucket = new TokenBucket(now, {perSecond: 0, burst: 0});
  }

  configure({
    loadPath,
    loadChecksPerSecond,
    coldRequestsPerSecond,
  }: ServiceRules): void {
    this.mayBecomeCold = coldRequestsPerSecond > 0;
    const isFirst = this.path === '' && loadPath !== '';
    this.path = loadPath;
    const perSecond = loadChecksPerSecond * CHECK_RATE_SHARE;
    const burst = Math.min(2, perSecond);
    this.bucket.configure(this.options.timers.now(), {perSecond, burst});
    // The first answer shows whether the server is leaving or advertises a rate limit.
    if (isFirst) this.refresh(() => undefined);
  }

  /** Calls `done` once the load is up to date; at once if it may not be checked now, and after `REFRESH_TIMEOUT_MS` at the latest. */
  refresh(done: () => void): void {
    const now = this.options.timers.now();
    this.requestedAt = now;
    const isLoadKnown = now - this.updatedAt < MAX_LOAD_AGE_MS;
    if (isLoadKnown) {
      done();
      this.checkCold(now);
      return;
    }
    if (!this.mayCheck(now)) {
      done();
      return;
    }
    this.callbacks.push(done);
    if (this.callbacks.length === 1) {
      this.options.timers.after(REFRESH_TIMEOUT_MS, () => this.flush());
    }
    if (!this.checking) this.check();
  }

  /**
   * Whether the server may have become cold unnoticed, as after a time without
   * requests or one in which this process stood still. Returns true once for
   * each such time, as the request that it is called for leads to a check.
   */
  takeColdUnknown(): boolean {
    const now = this.options.timers.now();
    if (!this.mayBecomeCold || this.path === '' || this.closed) return false;
    const knownAt = Math.max(this.checkedAt, this.reportedUnknownAt);
    if (now - knownAt <= COLD_UNKNOWN_AGE_MS) return false;
    this.reportedUnknownAt = now;
    return true;
  }

  /** Records that an answer contained the load. */
  recordUpdate(): void {
    this.updatedAt = this.options.timers.now();
    this.flush();
    this.scheduleCheckWhileSlow();
  }

  close(): void {
    this.closed = true;
    this.cancelNextCheck?.();
    this.flush();
  }

  private checkCold(now: Millis): void {
    if (!this.mayBecomeCold || this.checking) return;
    if (now - this.checkedAt < COLD_CHECK_INTERVAL_MS) return;
    if (this.mayCheck(now)) this.check();
  }

  private flush(): void {
    const {callbacks} = this;
    this.callbacks = [];
    callbacks.forEach(done => done());
  }

  private mayCheck(now: Millis): boolean {
    if (this.closed || this.path === '' || now < this.backoffUntil)
      return false;
    if (this.checking) return true;
    return this.bucket.take(now) && this.options.takeCheck();
  }

  private scheduleCheckWhileSlow(): void {
    const {timers, isSlow, isHolding} = this.options;
    if (this.closed || this.cancelNextCheck !== undefined || !isSlow()) return;
    const hasQueued = isHolding();
    const inDemand = timers.now() - this.requestedAt < DEMAND_WINDOW_MS;
    if (!hasQueued && !inDemand) return;
    this.cancelNextCheck = timers.after(
      hasQueued ? HOLDING_CHECK_INTERVAL_MS : SLOW_CHECK_INTERVAL_MS,
      () => {
        this.cancelNextCheck = undefined;
        if (this.checking) return;
        if (this.mayCheck(timers.now())) this.check();
        else this.scheduleCheckWhileSlow();
      },
    );
  }

  private check(): void {
    const {connections, serverInterface, timers, onLoad, onAnswer} =
      this.options;
    this.checking = true;
    this.checkedAt = timers.now();
    connections.fetchLoad(this.path, result => {
      this.checking = false;
      const load =
        result.type === 'broke'
          ? undefined
          : serverInterface.loadOf(result.headers);
      if (result.type === 'answer') onAnswer(result.headers);
      if (load !== undefined) {
        onLoad(load);
        return;
      }
      if (result.type === 'answer')
        this.backoffUntil = timers.now() + NO_LOAD_BACKOFF_MS;
      this.flush();
      this.scheduleCheckWhileSlow();
    });
  }
}
