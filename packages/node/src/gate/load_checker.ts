/** Asks the server of this VM for its load when someone wants to know it. */
import {TokenBucket} from '@goldcresthill/budgets';
import type {Cancel, Timers} from '@goldcresthill/timers';
import type {Millis, ServiceRules} from '@goldcresthill/types';
import type {ServerConnections} from './server_connections';
import type {ServerInterface, ServerLoad} from './server_interface';

/** What a checker starts from. */
export interface LoadCheckerOptions {
  readonly timers: Timers;
  readonly connections: ServerConnections;
  readonly server: ServerInterface;
  readonly onLoad: (load: ServerLoad) => void;
  /** Whether the server is slower than usual, which is soon over. */
  readonly isSlow: () => boolean;
  /** Whether requests wait for that. */
  readonly isHolding: () => boolean;
}

/** A figure of that age is not asked for again, as speed stays for longer, milliseconds. */
const FRESH_MS = 60;
/** Longest wait for the server's answer; whoever asked then takes the last figure, milliseconds. */
const WAIT_MS = 5;
/** A slow server is asked again while someone was interested in it for that long, milliseconds. */
const INTEREST_MS = 1_000;
/** Interval of questions to a slow server, and while requests wait for it, milliseconds. */
const SLOW_GAP_MS = 60;
const HOLDING_GAP_MS = 25;
/** Share of the bound on checks that is used, as the bound holds for all of a server's processes. */
const RATE_SHARE = 0.6;
/** A server that does not tell its load is asked again after this time, milliseconds. */
const SILENT_MS = 5_000;

/** One question at a time, within the rate of the service's rules. */
export class LoadChecker {
  private readonly bucket: TokenBucket;
  private path = '';
  private asking = false;
  private closed = false;
  private learntAt: Millis = -Infinity;
  private wantedAt: Millis = -Infinity;
  private silentUntil: Millis = -Infinity;
  private waiting: Array<() => void> = [];
  private again: Cancel | undefined;

  constructor(private readonly options: LoadCheckerOptions) {
    const now = options.timers.now();
    this.bucket = new TokenBucket(now, {perSecond: 0, burst: 0});
  }

  configure({loadPath, loadChecksPerSecond}: ServiceRules): void {
    this.path = loadPath;
    const perSecond = loadChecksPerSecond * RATE_SHARE;
    const burst = Math.min(2, perSecond);
    this.bucket.configure(this.options.timers.now(), {perSecond, burst});
  }

  /** Calls `done` once the load is known as well as it can be at once. */
  refresh(done: () => void): void {
    const now = this.options.timers.now();
    this.wantedAt = now;
    if (now - this.learntAt < FRESH_MS || !this.mayAsk(now)) {
      done();
      return;
    }
    this.waiting.push(done);
    if (this.waiting.length === 1) {
      this.options.timers.after(WAIT_MS, () => this.flush());
    }
    if (!this.asking) this.ask();
  }

  /** An answer brought the load. */
  noteLearnt(): void {
    this.learntAt = this.options.timers.now();
    this.flush();
    this.askAgainWhileSlow();
  }

  close(): void {
    this.closed = true;
    this.again?.();
    this.flush();
  }

  private flush(): void {
    const {waiting} = this;
    this.waiting = [];
    waiting.forEach(done => done());
  }

  private mayAsk(now: Millis): boolean {
    if (this.closed || this.path === '' || now < this.silentUntil) return false;
    return this.asking || this.bucket.take(now);
  }

  private askAgainWhileSlow(): void {
    const {timers, isSlow, isHolding} = this.options;
    if (this.closed || this.again !== undefined || !isSlow()) return;
    const holding = isHolding();
    const wanted = timers.now() - this.wantedAt < INTEREST_MS;
    if (!holding && !wanted) return;
    this.again = timers.after(holding ? HOLDING_GAP_MS : SLOW_GAP_MS, () => {
      this.again = undefined;
      if (this.asking) return;
      if (this.mayAsk(timers.now())) this.ask();
      else this.askAgainWhileSlow();
    });
  }

  private ask(): void {
    const {connections, server, timers, onLoad} = this.options;
    this.asking = true;
    connections.ask(this.path, result => {
      this.asking = false;
      const load =
        result.type === 'broke' ? undefined : server.loadOf(result.headers);
      if (load !== undefined) {
        onLoad(load);
        return;
      }
      if (result.type === 'answer') this.silentUntil = timers.now() + SILENT_MS;
      this.flush();
      this.askAgainWhileSlow();
    });
  }
}
