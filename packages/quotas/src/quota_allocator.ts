/** Grants tokens for the accounts that are assigned to this node. */
import {TokenBucket} from '@goldcresthill/budgets';
import type {Millis} from '@goldcresthill/types';
import {allocatorOf} from './allocator_list';
import type {AllocatorList} from './allocator_list';
import {MAX_VALIDITY_MS} from './quota_terms';
import type {AccountCap, QuotaTerms} from './quota_terms';
import {RetrySchedule} from './retry_schedule';

/** Proof that the list of allocators which this node holds was the newest in the store a while ago. */
export interface AssignmentProof {
  /** Time since the moment of the proof, milliseconds; Infinity without one. */
  ageMs(): Millis;
}

/** A gateway's request for tokens. */
export interface TokenRequest {
  readonly account: string;
  readonly count: number;
}

/** Answer to a request for tokens. */
export interface TokenGrant {
  readonly count: number;
  /** Time from the gateway's request for which it may use the tokens, milliseconds; 0 if this node grants none for any caller now. */
  readonly validityMs: Millis;
  /** Time until a caller that got no token may come back, milliseconds; 0 if all tokens were granted. */
  readonly retryAfterMs: Millis;
}

/** Options of QuotaAllocator. */
export interface QuotaAllocatorOptions {
  readonly nodeId: string;
  readonly terms: QuotaTerms;
  readonly proof: AssignmentProof;
  /** Age of the proof up to which this node grants tokens, milliseconds. */
  readonly leaseMs: Millis;
}

/** Usual time until another node allocates, or this one has a proof again, milliseconds. */
export const UNAVAILABLE_RETRY_MS = 250;
/** Lists that are remembered, to know since when an account has been assigned to this node. */
const MAX_LISTS = 8;

interface HeldList {
  readonly list: AllocatorList;
  /** Time from which tokens of accounts that are new to this node accumulate. */
  readonly startsAt: Millis;
}

interface Account {
  readonly bucket: TokenBucket;
  readonly retries: RetrySchedule;
}

/**
 * A list takes effect for accounts that are new to this node only after a lease,
 * when the proofs of the predecessor have expired. A grant counts when it is
 * given, so the predecessor's grants need no wait of their own: they lie before
 * the first of this node, and both are bounded by one rate.
 */
export class QuotaAllocator {
  private caps: ReadonlyMap<string, AccountCap> = new Map();
  /** Lists that replaced each other without a gap, oldest first. */
  private lists: HeldList[] = [];
  private readonly accounts = new Map<string, Account>();

  constructor(private readonly options: QuotaAllocatorOptions) {}

  /** Epoch of the list that this node holds; 0 without one. */
  get epoch(): number {
    return this.list?.epoch ?? 0;
  }

  /** The list in force; undefined if this node knows none. */
  get list(): AllocatorList | undefined {
    return this.lists.at(-1)?.list;
  }

  /** Replaces the caps; accounts that are missing have none. */
  setCaps(now: Millis, caps: ReadonlyMap<string, AccountCap>): void {
    this.caps = caps;
    for (const [name, {bucket}] of this.accounts) {
      const cap = caps.get(name);
      if (cap === undefined) this.accounts.delete(name);
      else bucket.configure(now, this.bucketOptions(cap));
    }
  }

  /** Puts a list into force that this node has learned of now, unless it is older. */
  setList(now: Millis, list: AllocatorList): void {
    if (list.epoch <= this.epoch) return;
    // Another node may have granted tokens during an epoch that this node has missed.
    const held = this.list;
    const isNext = list.previous === held?.epoch && list.era === held.era;
    if (!isNext) this.lists = [];
    this.lists.push({list, startsAt: now + this.options.leaseMs});
    if (this.lists.length > MAX_LISTS) this.lists.shift();
    for (const name of [...this.accounts.keys()]) {
      if (this.lists.length === 1 || !this.isAssigned(name, list))
        this.accounts.delete(name);
    }
  }

  /** Grants as many of the tokens as there are. */
  grant(now: Millis, {account, count}: TokenRequest): TokenGrant {
    const startsAt = this.startOf(account);
    if (startsAt === undefined || !this.hasLease)
      return unavailable(UNAVAILABLE_RETRY_MS);
    if (now < startsAt) return unavailable(startsAt - now);
    const cap = this.caps.get(account);
    // The cap is being added or removed, and binds only once all nodes know it.
    if (cap === undefined)
      return {count, validityMs: MAX_VALIDITY_MS, retryAfterMs: 0};
    const {bucket, retries} = this.accountOf(account, cap, startsAt);
    const granted = Math.min(count, Math.floor(bucket.available(now)));
    if (granted > 0) bucket.take(now, granted);
    const missing = count - granted;
    return {
      count: granted,
      validityMs: this.options.terms.validityMsOf(cap),
      retryAfterMs:
        missing === 0
          ? 0
          : retries.next(now, bucket.waitMs(now), cap.ratePerSecond, missing),
    };
  }

  /** Whether the proof is recent enough to grant tokens. */
  get hasLease(): boolean {
    const {proof, leaseMs} = this.options;
    return this.lists.length > 0 && proof.ageMs() < leaseMs;
  }

  /** Tokens that are available now, for status pages; undefined for an account without requests so far. */
  tokensOf(now: Millis, account: string): number | undefined {
    return this.accounts.get(account)?.bucket.available(now);
  }

  private accountOf(name: string, cap: AccountCap, startsAt: Millis): Account {
    const existing = this.accounts.get(name);
    if (existing !== undefined) return existing;
    const {terms} = this.options;
    const bucket = new TokenBucket(startsAt, this.bucketOptions(cap));
    const capacity = terms.capacityOf(cap);
    bucket.take(startsAt, Math.max(0, capacity - terms.initialTokens));
    const account = {bucket, retries: new RetrySchedule()};
    this.accounts.set(name, account);
    return account;
  }

  private bucketOptions(cap: AccountCap): {perSecond: number; burst: number} {
    return {
      perSecond: cap.ratePerSecond,
      // A bucket of less than one token would never grant one.
      burst: Math.max(1, this.options.terms.capacityOf(cap)),
    };
  }

  /** Time from which this node may grant tokens for an account; undefined if the account is assigned to another node. */
  private startOf(account: string): Millis | undefined {
    let startsAt: Millis | undefined;
    for (const held of this.lists) {
      if (!this.isAssigned(account, held.list)) startsAt = undefined;
      else startsAt ??= held.startsAt;
    }
    return startsAt;
  }

  private isAssigned(account: string, list: AllocatorList): boolean {
    return allocatorOf(account, list) === this.options.nodeId;
  }
}

function unavailable(retryAfterMs: Millis): TokenGrant {
  return {count: 0, validityMs: 0, retryAfterMs};
}
