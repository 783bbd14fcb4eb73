/** What a gateway holds for a capped account, and the requests that wait for tokens. */
import {elapsedMs} from '@goldcresthill/freshness';
import type {ClockReading} from '@goldcresthill/freshness';
import type {Millis} from '@goldcresthill/types';
import {UNAVAILABLE_RETRY_MS} from './quota_allocator';
import type {TokenGrant} from './quota_allocator';
import {RetrySchedule} from './retry_schedule';

/** Whether a request may start. */
export type QuotaOutcome =
  | {readonly type: 'admitted'}
  /** The account is over its cap. */
  | {readonly type: 'overCap'; readonly retryAfterMs: Millis}
  /** No allocator answers; the account may be within its cap. */
  | {readonly type: 'unavailable'; readonly retryAfterMs: Millis};

/** What the owner of a QuotaAccount has to do. */
export type QuotaCommand =
  /** Ask the allocator for tokens; if it does not answer within `timeoutMs`, call `expire` with `ref`. */
  | {
      readonly type: 'ask';
      readonly ref: number;
      readonly count: number;
      readonly timeoutMs: Millis;
    }
  | {
      readonly type: 'settle';
      readonly waiter: number;
      readonly outcome: QuotaOutcome;
    };

/** Options of QuotaAccount. */
export interface QuotaAccountOptions {
  readonly ratePerSecond: number;
  /** Time without an answer after which the allocator is asked again, milliseconds. */
  readonly askTimeoutMs?: Millis;
}

/** Longer than a round trip between distant failure domains to a node whose processor is busy. */
const ASK_TIMEOUT_MS = 80;
/** Times that an allocator is asked before callers are refused; with one datagram in 100 lost, 1 in 100,000 callers is refused. */
const MAX_ASKS = 3;
/** Time for which callers are refused at once after an allocator has not answered, milliseconds. */
const HOLD_OFF_MS = 200;
/** Time after which a query is forgotten, milliseconds; above the longest validity of tokens. */
const LOST_AFTER_MS = 1_000;
/** Requests of this time ahead for which a busy account asks, milliseconds. */
const FORECAST_MS = 100;
/** Time constant of the estimate of an account's rate at this gateway, milliseconds. */
const RATE_PERIOD_MS = 1_000;
const MILLIS_PER_SECOND = 1_000;

interface Ask {
  /** Waiting requests, in the order of their arrival. */
  readonly waiters: Set<number>;
  /** Tokens that are asked for in addition. */
  spare: number;
  asks: number;
}

interface SentAsk {
  readonly ask: Ask;
  readonly sentAt: ClockReading;
}

interface HeldTokens {
  count: number;
  readonly askedAt: ClockReading;
  readonly validityMs: Millis;
}

/**
 * Each request that finds no token asks for one at once, so that it waits for
 * one round trip. The validity of tokens counts from the query, so that an
 * answer which waited in a socket cannot be used late.
 */
export class QuotaAccount {
  private readonly sent = new Map<number, SentAsk>();
  private readonly openAsks = new Set<Ask>();
  private readonly retries = new RetrySchedule();
  private held: HeldTokens[] = [];
  private nextRef = 0;
  /** Until then the allocator has no token. */
  private emptyUntil: Millis = -Infinity;
  /** Time at which the allocator expects to have a token for this gateway. */
  private promisedAt: Millis = -Infinity;
  /** Until then requests are refused without asking, as no allocator has answered. */
  private unavailableUntil: Millis = -Infinity;
  private isScarce = false;
  private recentRequests = 0;
  private lastRequestAt: Millis = -Infinity;
  private ratePerSecond: number;
  private readonly askTimeoutMs: Millis;

  constructor({ratePerSecond, askTimeoutMs}: QuotaAccountOptions) {
    this.ratePerSecond = ratePerSecond;
    this.askTimeoutMs = askTimeoutMs ?? ASK_TIMEOUT_MS;
  }

  /** Sets the rate of the account's cap. */
  configure(ratePerSecond: number): void {
    this.ratePerSecond = ratePerSecond;
  }

  /** Handles a request; `waiter` identifies it. */
  request(clocks: ClockReading, waiter: number): QuotaCommand[] {
    const now = clocks.steadyMs;
    this.recordRequest(now);
    if (this.takeHeld(clocks)) return [admitted(waiter)];
    if (now < this.unavailableUntil)
      return [unavailable(waiter, this.unavailableUntil - now)];
    if (now < this.emptyUntil) return [this.overCap(now, waiter)];
    for (const ask of this.openAsks) {
      if (ask.spare === 0) continue;
      ask.spare--;
      ask.waiters.add(waiter);
      return [];
    }
    const ask = {waiters: new Set([waiter]), spare: this.forecast, asks: 0};
    this.openAsks.add(ask);
    return [this.send(clocks, ask)];
  }

  /** Handles the answer to a query. */
  answer(clocks: ClockReading, ref: number, grant: TokenGrant): QuotaCommand[] {
    const sent = this.sent.get(ref);
    if (sent === undefined) return [];
    this.sent.delete(ref);
    const now = clocks.steadyMs;
    const {ask, sentAt} = sent;
    const {count, validityMs, retryAfterMs} = grant;
    if (validityMs === 0) return this.refuseAll(now, ask, retryAfterMs);
    if (count > 0) this.held.push({count, askedAt: sentAt, validityMs});
    this.isScarce = retryAfterMs > 0;
    const commands: QuotaCommand[] = [];
    for (const waiter of ask.waiters) {
      if (!this.takeHeld(clocks)) break;
      ask.waiters.delete(waiter);
      commands.push(admitted(waiter));
    }
    if (this.isScarce) this.recordEmpty(now, retryAfterMs);
    // Tokens that have expired on the way say nothing about the cap.
    const isExpired = elapsedMs(sentAt, clocks) >= validityMs;
    if (ask.waiters.size > 0 && (!this.isScarce || isExpired))
      return [...commands, ...this.askAgain(clocks, ask)];
    this.openAsks.delete(ask);
    for (const waiter of ask.waiters) commands.push(this.overCap(now, waiter));
    ask.waiters.clear();
    return commands;
  }

  /** Handles that a query has not been answered within its time-out. */
  expire(clocks: ClockReading, ref: number): QuotaCommand[] {
    const sent = this.sent.get(ref);
    // The query is remembered, as tokens of a late answer can still be used.
    if (sent === undefined || !this.openAsks.has(sent.ask)) return [];
    return this.askAgain(clocks, sent.ask);
  }

  /** Drops a request whose caller has gone. */
  cancel(waiter: number): void {
    for (const ask of this.openAsks) {
      if (ask.waiters.delete(waiter)) ask.spare++;
    }
  }

  /** Asks again at once, as another node may grant the tokens now. */
  onNewAllocator(): void {
    this.unavailableUntil = -Infinity;
    this.emptyUntil = -Infinity;
  }

  /** Tokens that can be used now. */
  tokens(clocks: ClockReading): number {
    this.dropExpired(clocks);
    return this.held.reduce((sum, {count}) => sum + count, 0);
  }

  /** Whether nothing waits and nothing is held. */
  isIdle(clocks: ClockReading): boolean {
    return this.openAsks.size === 0 && this.tokens(clocks) === 0;
  }

  private send(clocks: ClockReading, ask: Ask): QuotaCommand {
    ask.asks++;
    this.dropLost(clocks);
    const ref = this.nextRef++;
    this.sent.set(ref, {ask, sentAt: clocks});
    const count = ask.waiters.size + ask.spare;
    return {type: 'ask', ref, count, timeoutMs: this.askTimeoutMs};
  }

  private askAgain(clocks: ClockReading, ask: Ask): QuotaCommand[] {
    if (ask.waiters.size === 0) {
      this.openAsks.delete(ask);
      return [];
    }
    if (ask.asks >= MAX_ASKS) {
      const now = clocks.steadyMs;
      return this.refuseAll(now, ask, UNAVAILABLE_RETRY_MS);
    }
    ask.spare = 0;
    return [this.send(clocks, ask)];
  }

  private refuseAll(
    now: Millis,
    ask: Ask,
    retryAfterMs: Millis,
  ): QuotaCommand[] {
    this.openAsks.delete(ask);
    this.unavailableUntil = now + Math.min(retryAfterMs, HOLD_OFF_MS);
    const waiters = [...ask.waiters];
    ask.waiters.clear();
    return waiters.map(waiter => unavailable(waiter, retryAfterMs));
  }

  // Tokens are granted in the order of requests, so this gateway asks again when
  // the next token is due, although each caller is told a time of its own.
  private recordEmpty(now: Millis, retryAfterMs: Millis): void {
    const tokenMs = MILLIS_PER_SECOND / this.ratePerSecond;
    this.emptyUntil = now + Math.min(retryAfterMs, tokenMs);
    this.promisedAt = now + retryAfterMs;
  }

  private overCap(now: Millis, waiter: number): QuotaCommand {
    const waitMs = Math.max(0, this.promisedAt - now);
    const retryAfterMs = this.retries.next(now, waitMs, this.ratePerSecond);
    return {type: 'settle', waiter, outcome: {type: 'overCap', retryAfterMs}};
  }

  private takeHeld(clocks: ClockReading): boolean {
    this.dropExpired(clocks);
    const [oldest] = this.held;
    if (oldest === undefined) return false;
    oldest.count--;
    if (oldest.count === 0) this.held.shift();
    return true;
  }

  private dropExpired(clocks: ClockReading): void {
    this.held = this.held.filter(
      ({askedAt, validityMs}) => elapsedMs(askedAt, clocks) < validityMs,
    );
  }

  /** Forgets queries that have not been answered for so long that their tokens would have expired. */
  private dropLost(clocks: ClockReading): void {
    for (const [ref, {sentAt}] of this.sent) {
      if (elapsedMs(sentAt, clocks) < LOST_AFTER_MS) return;
      this.sent.delete(ref);
    }
  }

  private recordRequest(now: Millis): void {
    const elapsed = now - this.lastRequestAt;
    this.recentRequests =
      1 + this.recentRequests * Math.exp(-elapsed / RATE_PERIOD_MS);
    this.lastRequestAt = now;
  }

  /** Tokens to ask for in advance; none while the account is over its cap, as others could use them. */
  private get forecast(): number {
    if (this.isScarce) return 0;
    return Math.floor((this.recentRequests * FORECAST_MS) / RATE_PERIOD_MS);
  }
}

function admitted(waiter: number): QuotaCommand {
  return {type: 'settle', waiter, outcome: {type: 'admitted'}};
}

function unavailable(waiter: number, retryAfterMs: Millis): QuotaCommand {
  return {type: 'settle', waiter, outcome: {type: 'unavailable', retryAfterMs}};
}
