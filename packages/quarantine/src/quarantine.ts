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
export type QuarantineStatus = 'clear' | 'suspect' | 'quarantined';

/** Sizes. */
export interface QuarantineOptions {
  /** Time for which a strike counts, milliseconds. */
  readonly strikeLifetimeMs?: number;
  /** Different servers that must die before a request is refused. */
  readonly strikesToQuarantine?: number;
  readonly maxFingerprints?: number;
}

const DEFAULT_STRIKE_LIFETIME_MS = 60_000;
const DEFAULT_STRIKES_TO_QUARANTINE = 2;
const DEFAULT_MAX_FINGERPRINTS = 10_000;

interface FingerprintEntry {
  readonly strikeTimes: Map<string, Millis>;
  clearedAt: Millis;
}

/** Merging is idempotent and does not depend on order. */
export class Quarantine {
  private readonly entries = new Map<string, FingerprintEntry>();
  private readonly strikeLifetimeMs: number;
  private readonly strikesToQuarantine: number;
  private readonly maxFingerprints: number;

  constructor(options: QuarantineOptions = {}) {
    this.strikeLifetimeMs =
      options.strikeLifetimeMs ?? DEFAULT_STRIKE_LIFETIME_MS;
    this.strikesToQuarantine =
      options.strikesToQuarantine ?? DEFAULT_STRIKES_TO_QUARANTINE;
    this.maxFingerprints = options.maxFingerprints ?? DEFAULT_MAX_FINGERPRINTS;
  }

  /** Takes a strike; true if it is news. */
  recordStrike(strike: Strike): boolean {
    const entry = this.entryOf(strike.fingerprint);
    const previousAt = entry.strikeTimes.get(strike.instance);
    if (previousAt !== undefined && previousAt >= strike.at) return false;
    entry.strikeTimes.set(strike.instance, strike.at);
    return true;
  }

  /** Takes a clearance; true if it is news about a request with strikes. */
  recordClearance(clearance: Clearance): boolean {
    const entry = this.entries.get(clearance.fingerprint);
    if (entry === undefined || entry.clearedAt >= clearance.at) return false;
    entry.clearedAt = clearance.at;
    return true;
  }

  /** How a request stands now. */
  statusOf(
    now: Millis,
    fingerprint: string,
    strikeLifetimeMs = this.strikeLifetimeMs,
  ): QuarantineStatus {
    const entry = this.entries.get(fingerprint);
    if (entry === undefined) return 'clear';
    let count = 0;
    for (const at of entry.strikeTimes.values()) {
      if (at > entry.clearedAt && now - at < strikeLifetimeMs) count++;
    }
    if (count === 0) return 'clear';
    return count >= this.strikesToQuarantine ? 'quarantined' : 'suspect';
  }

  /** Whether there is nothing to look for. */
  get isEmpty(): boolean {
    return this.entries.size === 0;
  }

  /** Whether a completed run of this request is worth telling others. */
  isTracked(fingerprint: string): boolean {
    return this.entries.has(fingerprint);
  }

  /** Drops what no longer counts. */
  evict(now: Millis): void {
    for (const [fingerprint, entry] of this.entries) {
      const newest = Math.max(...entry.strikeTimes.values(), entry.clearedAt);
      if (now - newest >= this.strikeLifetimeMs)
        this.entries.delete(fingerprint);
    }
  }

  /** Requests refused now, for status pages. */
  quarantinedFingerprints(now: Millis): string[] {
    return [...this.entries.keys()].filter(
      fingerprint => this.statusOf(now, fingerprint) === 'quarantined',
    );
  }

  private entryOf(fingerprint: string): FingerprintEntry {
    const known = this.entries.get(fingerprint);
    if (known !== undefined) return known;
    if (this.entries.size >= this.maxFingerprints) this.dropOldest();
    const entry = {
      strikeTimes: new Map<string, Millis>(),
      clearedAt: -Infinity,
    };
    this.entries.set(fingerprint, entry);
    return entry;
  }

  private dropOldest(): void {
    const oldest = this.entries.keys().next();
    if (!oldest.done) this.entries.delete(oldest.value);
  }
}
