/** Ways to enforce caps in a simulated fleet: the product's, and simpler ones that the checks must reject. */
import {TokenBucket} from '@goldcresthill/budgets';
import type {AccountCap, QuotaOutcome} from '@goldcresthill/quotas';
import type {VirtualClock} from '@goldcresthill/test-utils';
import type {Millis} from '@goldcresthill/types';

/** What decides at each node whether a request of an account starts. */
export abstract class CapScheme {
  /** Decides on a request that a node has received; `done` is called once. */
  abstract admit(
    node: number,
    account: string,
    done: (outcome: QuotaOutcome) => void,
  ): void;
}

/** A limiter at each node without messages, for `share` of the cap. */
export class NodeLimiters extends CapScheme {
  private readonly buckets = new Map<string, TokenBucket>();

  constructor(
    private readonly clock: VirtualClock,
    private readonly caps: ReadonlyMap<string, AccountCap>,
    private readonly share: number,
  ) {
    super();
  }

  override admit(
    node: number,
    account: string,
    done: (outcome: QuotaOutcome) => void,
  ): void {
    const {now} = this.clock;
    const cap = this.caps.get(account) ?? {ratePerSecond: 0, burst: 0};
    const key = `${node}|${account}`;
    const bucket =
      this.buckets.get(key) ??
      new TokenBucket(now, {
        perSecond: cap.ratePerSecond * this.share,
        burst: cap.burst * this.share,
      });
    this.buckets.set(key, bucket);
    done(
      bucket.take(now)
        ? {type: 'admitted'}
        : {type: 'overCap', retryAfterMs: bucket.waitMs(now)},
    );
  }
}

/** Each node counts what it admits in the last second and tells all others at an interval. */
export class GossipedCounts extends CapScheme {
  private readonly admitted = new Map<string, {node: number; at: Millis}[]>();

  constructor(
    private readonly clock: VirtualClock,
    private readonly caps: ReadonlyMap<string, AccountCap>,
    /** Time until other nodes know of an admitted request, milliseconds. */
    private readonly delayMs: Millis,
    private readonly windowMs: Millis,
  ) {
    super();
  }

  override admit(
    node: number,
    account: string,
    done: (outcome: QuotaOutcome) => void,
  ): void {
    const {now} = this.clock;
    const {ratePerSecond, burst} = this.caps.get(account) ?? {
      ratePerSecond: 0,
      burst: 0,
    };
    const inWindow = (this.admitted.get(account) ?? []).filter(
      ({at}) => at > now - this.windowMs,
    );
    const known = inWindow.filter(
      entry => entry.node === node || entry.at <= now - this.delayMs,
    );
    const allowed = (ratePerSecond * this.windowMs) / 1_000 + burst;
    if (known.length < allowed) {
      inWindow.push({node, at: now});
      done({type: 'admitted'});
    } else {
      done({type: 'overCap', retryAfterMs: 1_000 / ratePerSecond});
    }
    this.admitted.set(account, inWindow);
  }
}
