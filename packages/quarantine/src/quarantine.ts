/** Aggregate of strikes against requests, the same at every node once spread. */
import type {Millis} from '@goldcresthill/types';

/** A request was in flight at a server when that server died. */
export interface Strike {
  readonly fingerprint: string;
  /** The server process that died. */
  readonly instance: string;
  /** Wall-clock time, milliseconds since 1970. */
  readonly at: Millis;
}

/** A request has completed somewhere, so it does not crash servers. */
export interface Clearance {
  readonly fingerprint: string;
  readonly at: Millis;
}

/** How a request is to be treated. */
export type Standing = 'clear' | 'suspect' | 'quarantined';

/** Sizes. */
export interface QuarantineOptions {
  /** Time for which a strike counts, milliseconds. */
  readonly holdMs?: number;
  /** Different servers that must die before a request is refused. */
  readonly strikesToRefuse?: number;
  readonly maxFingerprints?: number;
}

const DEFAULT_HOLD_MS = 60_000;
const DEFAULT_STRIKES = 2;
const DEFAULT_MAX_FINGERPRINTS = 10_000;

interface Case {
  readonly strikes: Map<string, Millis>;
  clearedAt: Millis;
}

/** Merging is idempotent and does not depend on order. */
export class Quarantine {
  private readonly cases = new Map<string, Case>();
  private readonly holdMs: number;
  private readonly strikesToRefuse: number;
  private readonly maxFingerprints: number;

  constructor(options: QuarantineOptions = {}) {
    this.holdMs = options.holdMs ?? DEFAULT_HOLD_MS;
    this.strikesToRefuse = options.strikesToRefuse ?? DEFAULT_STRIKES;
    this.maxFingerprints = options.maxFingerprints ?? DEFAULT_MAX_FINGERPRINTS;
  }

  /** Takes a strike; true if it is news. */
  strike(strike: Strike): boolean {
    const entry = this.caseOf(strike.fingerprint);
    const known = entry.strikes.get(strike.instance);
    if (known !== undefined && known >= strike.at) return false;
    entry.strikes.set(strike.instance, strike.at);
    return true;
  }

  /** Takes a clearance; true if it is news about a request with strikes. */
  clear(clearance: Clearance): boolean {
    const entry = this.cases.get(clearance.fingerprint);
    if (entry === undefined || entry.clearedAt >= clearance.at) return false;
    entry.clearedAt = clearance.at;
    return true;
  }

  /** How a request stands now. */
  standing(now: Millis, fingerprint: string, holdMs = this.holdMs): Standing {
    const entry = this.cases.get(fingerprint);
    if (entry === undefined) return 'clear';
    let count = 0;
    for (const at of entry.strikes.values()) {
      if (at > entry.clearedAt && now - at < holdMs) count++;
    }
    if (count === 0) return 'clear';
    return count >= this.strikesToRefuse ? 'quarantined' : 'suspect';
  }

  /** Whether there is nothing to look for. */
  get isEmpty(): boolean {
    return this.cases.size === 0;
  }

  /** Whether a completed run of this request is worth telling others. */
  isKnown(fingerprint: string): boolean {
    return this.cases.has(fingerprint);
  }

  /** Drops what no longer counts. */
  evict(now: Millis): void {
    for (const [fingerprint, entry] of this.cases) {
      const newest = Math.max(...entry.strikes.values(), entry.clearedAt);
      if (now - newest >= this.holdMs) this.cases.delete(fingerprint);
    }
  }

  /** Requests refused now, for status pages. */
  refused(now: Millis): string[] {
    return [...this.cases.keys()].filter(
      fingerprint => this.standing(now, fingerprint) === 'quarantined',
    );
  }

  private caseOf(fingerprint: string): Case {
    const known = this.cases.get(fingerprint);
    if (known !== undefined) return known;
    if (this.cases.size >= this.maxFingerprints) this.dropOldest();
    const entry = {strikes: new Map<string, Millis>(), clearedAt: -Infinity};
    this.cases.set(fingerprint, entry);
    return entry;
  }

  private dropOldest(): void {
    const oldest = this.cases.keys().next();
    if (!oldest.done) this.cases.delete(oldest.value);
  }
}
