/**
 * Counts the servers that died with a request in flight, by fingerprint. Strikes
 * and clearances spread by gossip, so that every node reaches the same status.
 */
import type {Millis} from '@goldcresthill/types';

/** Record that a request was in flight at a server that died. */
export interface Strike {
  readonly fingerprint: string;
  /** The server process that died. */
  readonly instance: string;
  /** Wall-clock time, milliseconds since 1970. */
  readonly at: Millis;
}

/** Record that a request completed at a server, so it does not crash servers. */
export interface Clearance {
  readonly fingerprint: string;
  /** Wall-clock time, milliseconds since 1970. */
  readonly at: Millis;
}

/**
 * How to treat a request: `suspect` if it has strikes, `quarantined` (to be
 * refused) once enough different servers have died.
 */
export type QuarantineStatus = 'clear' | 'suspect' | 'quarantined';

/** Options of a quarantine. */
export interface QuarantineOptions {
  /** Time for which a strike counts, milliseconds. */
  readonly strikeLifetimeMs?: number;
  /** Server processes that must die before a request is quarantined. */
  readonly strikesToQuarantine?: number;
  /** Fingerprints with strikes; the oldest is evicted before one more is added. */
  readonly maxFingerprints?: number;
}

const DEFAULT_STRIKE_LIFETIME_MS = 60_000;
const DEFAULT_STRIKES_TO_QUARANTINE = 2;
const DEFAULT_MAX_FINGERPRINTS = 10_000;

interface FingerprintEntry {
  /** Time of the newest strike of each server process. */
  readonly strikeTimes: Map<string, Millis>;
  clearedAt: Millis;
}

/**
 * Quarantine of one node. Merging strikes is idempotent and does not depend on
 * their order. A clearance counts only if a strike against its fingerprint has
 * arrived before it.
 */
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

  /** Merges a strike; returns false if it is known already. */
  recordStrike(strike: Strike): boolean {
    const entry = this.entryOf(strike.fingerprint);
    const previousAt = entry.strikeTimes.get(strike.instance);
    if (previousAt !== undefined && previousAt >= strike.at) return false;
    entry.strikeTimes.set(strike.instance, strike.at);
    return true;
  }

  /** Merges a clearance; returns false if it is known already or no strike is recorded. */
  recordClearance(clearance: Clearance): boolean {
    const entry = this.entries.get(clearance.fingerprint);
    if (entry === undefined || entry.clearedAt >= clearance.at) return false;
    entry.clearedAt = clearance.at;
    return true;
  }

  /** Returns the status of a request; `now` is wall-clock time. */
  statusOf(
    now: Millis,
    fingerprint: string,
    strikeLifetimeMs = this.strikeLifetimeMs,
  ): QuarantineStatus {
    const entry = this.entries.get(fingerprint);
    if (entry === undefined) return 'clear';
    let count = 0;
    for (const at of entry.strikeTimes.values()) {
      if (this.counts(now, at, entry, strikeLifetimeMs)) count++;
    }
    if (count === 0) return 'clear';
    return count >= this.strikesToQuarantine ? 'quarantined' : 'suspect';
  }

  /** Whether no request has a strike, so that no fingerprint needs to be computed. */
  get isEmpty(): boolean {
    return this.entries.size === 0;
  }

  /** Whether a strike is recorded, so that a clearance is worth publishing when the request completes. */
  isTracked(fingerprint: string): boolean {
    return this.entries.has(fingerprint);
  }

  /** Removes fingerprints whose newest strike and clearance have expired. */
  evict(now: Millis): void {
    for (const [fingerprint, entry] of this.entries) {
      const newest = Math.max(...entry.strikeTimes.values(), entry.clearedAt);
      if (now - newest >= this.strikeLifetimeMs)
        this.entries.delete(fingerprint);
    }
  }

  /** Strikes that count now, at most `limit`, the newest ones, for a node that has just started. */
  activeStrikes(now: Millis, limit: number): Strike[] {
    const strikes = [...this.entries].flatMap(([fingerprint, entry]) =>
      [...entry.strikeTimes]
        .filter(([, at]) => this.counts(now, at, entry))
        .map(([instance, at]) => ({fingerprint, instance, at})),
    );
    return strikes.sort((a, b) => b.at - a.at).slice(0, limit);
  }

  /** Fingerprints quarantined now, for status pages. */
  quarantinedFingerprints(now: Millis): string[] {
    return [...this.entries.keys()].filter(
      fingerprint => this.statusOf(now, fingerprint) === 'quarantined',
    );
  }

  private counts(
    now: Millis,
    at: Millis,
    {clearedAt}: FingerprintEntry,
    strikeLifetimeMs = this.strikeLifetimeMs,
  ): boolean {
    return at > clearedAt && now - at < strikeLifetimeMs;
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
