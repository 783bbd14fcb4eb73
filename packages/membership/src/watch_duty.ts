/** Decides whether a node follows the configuration in the store by itself. */
import type {Millis} from '@goldcresthill/types';

/** What a duty starts from. */
export interface WatchDutyOptions {
  /** Time without word of a watcher after which a node watches by itself, milliseconds. */
  readonly timeoutMs: Millis;
  /** Time after its start in which a node is not expected to know others, milliseconds. */
  readonly startupGraceMs?: Millis;
}

/** Age of what was never heard, milliseconds. */
const NEVER_SEEN_AGE_MS = 1_000_000_000;

/**
 * A few chosen nodes watch, and each message carries how long ago its sender
 * has heard of one. A node that hears of none, as it is cut off from the others
 * or all watchers are gone, watches by itself.
 */
export class WatchDuty {
  private chosen = false;
  private watcherSeenAt: Millis;
  /** Until then this node leaves the watching to others, whatever it has heard. */
  private holdOffUntil: Millis;

  constructor(
    now: Millis,
    private readonly options: WatchDutyOptions,
  ) {
    this.watcherSeenAt = now - NEVER_SEEN_AGE_MS;
    this.holdOffUntil = now + options.timeoutMs + (options.startupGraceMs ?? 0);
  }

  /** Takes whether this node is among the chosen ones. */
  setChosen(now: Millis, chosen: boolean): void {
    if (this.chosen && !chosen) {
      this.watcherSeenAt = now;
      this.holdOffUntil = now + this.options.timeoutMs;
    }
    this.chosen = chosen;
  }

  /** Another node has heard of a watcher that long ago, milliseconds. */
  recordWatcherSeen(now: Millis, ageMs: Millis): void {
    this.watcherSeenAt = Math.max(this.watcherSeenAt, now - Math.max(0, ageMs));
  }

  /** Time since a watcher was heard of, milliseconds; 0 at a chosen node. */
  age(now: Millis): Millis {
    return this.chosen ? 0 : now - this.watcherSeenAt;
  }

  /** Whether this node is to watch now. */
  isDue(now: Millis): boolean {
    if (this.chosen) return true;
    return now > this.holdOffUntil && this.age(now) > this.options.timeoutMs;
  }
}
