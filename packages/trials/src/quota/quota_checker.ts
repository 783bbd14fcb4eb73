/** Checks the rule QUOTA as the specification words it, and measures refusals of requests within the cap. */
import {TokenBucket} from '@goldcresthill/budgets';
import type {AccountCap, QuotaBounds} from '@goldcresthill/quotas';
import type {Millis} from '@goldcresthill/types';

/** A request that a server ran. */
interface RanRequest {
  readonly sentAt: Millis;
  readonly arrivedAt: Millis;
}

/** A window in which more requests of an account ran than its cap allows. */
export interface QuotaViolation {
  readonly account: string;
  readonly windowStart: Millis;
  readonly ran: number;
  readonly allowed: number;
}

/** Requests of an account, and of those the ones that an ideal bucket at the clients would have admitted. */
export interface AccountCounts {
  sent: number;
  admitted: number;
  withinCap: number;
  /** Requests within the cap that were refused as over the cap. */
  withinOverCap: number;
  /** Requests within the cap that were refused because no allocator answered. */
  withinUnavailable: number;
}

/** A request that was refused. */
export type Refusal = 'overCap' | 'unavailable';

const MILLIS_PER_SECOND = 1_000;

/** Records the requests of one trial. */
export class QuotaChecker {
  private readonly ran = new Map<string, RanRequest[]>();
  private readonly ideal = new Map<string, TokenBucket>();
  readonly counts = new Map<string, AccountCounts>();

  constructor(
    private readonly caps: ReadonlyMap<string, AccountCap>,
    private readonly bounds: QuotaBounds,
  ) {}

  /** Records that a client sends a request; returns whether it is within the cap. Called in the order of time. */
  recordSent(account: string, at: Millis): boolean {
    const counts = this.countsOf(account);
    counts.sent++;
    const cap = this.caps.get(account);
    if (cap === undefined) return true;
    const bucket =
      this.ideal.get(account) ??
      new TokenBucket(at, {perSecond: cap.ratePerSecond, burst: cap.burst});
    this.ideal.set(account, bucket);
    const isWithin = bucket.take(at);
    if (isWithin) counts.withinCap++;
    return isWithin;
  }

  recordAdmitted(account: string): void {
    this.countsOf(account).admitted++;
  }

  /** Records that a server starts to run a request. */
  recordRan(account: string, request: RanRequest): void {
    const list = this.ran.get(account) ?? [];
    list.push(request);
    this.ran.set(account, list);
  }

  recordRefused(account: string, isWithin: boolean, reason: Refusal): void {
    if (!isWithin) return;
    const counts = this.countsOf(account);
    if (reason === 'overCap') counts.withinOverCap++;
    else counts.withinUnavailable++;
  }

  /** The first window of each account that violates the rule. */
  violations(): QuotaViolation[] {
    return [...this.caps.keys()].flatMap(
      account => this.violationOf(account) ?? [],
    );
  }

  /**
   * A window with the most requests can be moved right until it begins when one
   * of them is sent, so only those windows are checked.
   */
  private violationOf(account: string): QuotaViolation | undefined {
    const allowed = this.allowedOf(account);
    const requests = [...(this.ran.get(account) ?? [])];
    requests.sort((a, b) => a.sentAt - b.sentAt);
    for (let first = 0; first < requests.length; first++) {
      const windowStart = requests[first]?.sentAt ?? 0;
      const windowEnd = windowStart + this.bounds.windowMs;
      let ran = 0;
      for (let i = first; i < requests.length; i++) {
        const request = requests[i];
        if (request === undefined || request.sentAt > windowEnd) break;
        if (request.arrivedAt <= windowEnd) ran++;
      }
      if (ran > allowed) return {account, windowStart, ran, allowed};
    }
    return undefined;
  }

  private allowedOf(account: string): number {
    const cap = this.caps.get(account);
    if (cap === undefined) return Infinity;
    const {windowMs, overshoot, slack} = this.bounds;
    const perWindow = (cap.ratePerSecond * windowMs) / MILLIS_PER_SECOND;
    return (perWindow + cap.burst) * (1 + overshoot) + slack;
  }

  private countsOf(account: string): AccountCounts {
    const known = this.counts.get(account);
    if (known !== undefined) return known;
    const counts = {
      sent: 0,
      admitted: 0,
      withinCap: 0,
      withinOverCap: 0,
      withinUnavailable: 0,
    };
    this.counts.set(account, counts);
    return counts;
  }
}
