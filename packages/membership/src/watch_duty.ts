/** Decides whether a node watches the configuration in the object store by itself. */
import type {Millis} from '@goldcresthill/types';

export interface WatchDutyOptions {
  /** Time without evidence of a live watcher after which a node watches by itself, milliseconds. */
  readonly timeoutMs: Millis;
  /** Additional wait after the start, while a node is not expected to know others, milliseconds. */
  readonly startupGraceMs?: Millis;
}

/** Age reported before any watcher was seen, milliseconds. */
const NEVER_SEEN_AGE_MS = 1_000_000_000;

/**
 * A few chosen nodes watch the configuration, and each gossip message carries
 * the time since its sender last had evidence of a watcher. A node that gets no
 * recent evidence, because it is cut off or all watchers are gone, watches by itself.
 */
export class WatchDuty {
  private chosen = false;
  private watcherSeenAt: Millis;
  /** Until then a node that is not chosen does not watch, however old its evidence is. */
  private holdOffUntil: Millis;

  constructor(
    now: Millis,
    private readonly options: WatchDutyOptions,
  ) {
    this.watcherSeenAt = now - NEVER_SEEN_AGE_MS;
    this.holdOffUntil = now + options.timeoutMs + (options.startupGraceMs ?? 0);
  }

  /** Sets whether this node is a chosen watcher; one that no longer is waits as if it had just seen another. */
  setChosen(now: Millis, chosen: boolean): void {
    if (this.chosen && !chosen) {
      this.watcherSeenAt = now;
      this.holdOffUntil = now + this.options.timeoutMs;
    }
    this.chosen = chosen;
  }

  /** Records that a watcher was seen, by this node or another, `ageMs` milliseconds ago. */
  recordWatcherSeen(now: Millis, ageMs: Millis): void {
    this.watcherSeenAt = Math.max(this.watcherSeenAt, now - Math.max(0, ageMs));
  }

  /** Time since a watcher was last seen, milliseconds; 0 at a chosen node. */
  age(now: Millis): Millis {
    return this.chosen ? 0 : now - this.watcherSeenAt;
  }

  /** Whether this node should watch now. */
  isDue(now: Millis): boolean {
    if (this.chosen) return true;
    return now > this.holdOffUntil && this.age(now) > this.options.timeoutMs;
  }
}
