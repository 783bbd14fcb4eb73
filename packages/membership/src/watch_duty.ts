/** Decides whether a node watches the configuration in the object store by itself. */
import type {Millis} from '@goldcresthill/types';

export interface WatchDutyOptions {
  /** Time without evidence of a live watcher after which a node watches by itself, milliseconds. */
  readonly timeoutMs: Millis;
  /** Additional wait after the start, while a node is not expected to know others, milliseconds. */
  readonly startupGraceMs?: Millis;
  /** Time for which a node that replaces the chosen watchers counts as one, milliseconds. */
  readonly standbyMs?: Millis;
}

/** Age reported before any watcher was seen, milliseconds. */
const NEVER_SEEN_AGE_MS = 1_000_000_000;
const DEFAULT_STANDBY_MS = 10_000;

/**
 * A few chosen nodes watch the configuration, and each gossip message carries
 * the time since its sender last had evidence of a live watcher, which is one
 * that the store answers. Without recent evidence, a node that hears of no other
 * node watches at once, and the others do so one after the other until the
 * store answers one of them.
 */
export class WatchDuty {
  private chosen = false;
  /** Whether the store answered the last call for the configuration. */
  private isAnswered = true;
  private watcherSeenAt: Millis;
  /** Time of the last message of another node. */
  private reportedAt: Millis = -Infinity;
  /** Until then a node that is not chosen does not watch, however old its evidence is. */
  private holdOffUntil: Millis;
  /** Until then this node replaces the chosen watchers. */
  private standbyUntil: Millis = -Infinity;
  private standbyDelayMs: Millis = 0;

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

  /** Sets how long this node leaves it to others to replace the chosen watchers, milliseconds. */
  setStandbyDelay(delayMs: Millis): void {
    this.standbyDelayMs = delayMs;
  }

  /** Records that a watcher was seen, by this node or another, `ageMs` milliseconds ago. */
  recordWatcherSeen(now: Millis, ageMs: Millis): void {
    this.reportedAt = now;
    this.watcherSeenAt = Math.max(this.watcherSeenAt, now - Math.max(0, ageMs));
  }

  /** Records whether the store answered a call for the configuration. */
  recordStoreCall(now: Millis, isAnswered: boolean): void {
    if (this.isLiveWatcher(now) && !isAnswered) this.watcherSeenAt = now;
    if (isAnswered && !this.chosen && this.isDue(now))
      this.standbyUntil = now + (this.options.standbyMs ?? DEFAULT_STANDBY_MS);
    this.isAnswered = isAnswered;
  }

  /** Time since a live watcher was last seen, milliseconds; 0 at one. */
  age(now: Millis): Millis {
    return this.isLiveWatcher(now) ? 0 : now - this.watcherSeenAt;
  }

  /** Whether this node should watch now. */
  isDue(now: Millis): boolean {
    if (this.chosen || now < this.standbyUntil) return true;
    if (now <= this.holdOffUntil) return false;
    const {timeoutMs} = this.options;
    const ageMs = now - this.watcherSeenAt;
    const hearsOfNobody = now - this.reportedAt > timeoutMs;
    return ageMs > timeoutMs + (hearsOfNobody ? 0 : this.standbyDelayMs);
  }

  private isLiveWatcher(now: Millis): boolean {
    return this.isAnswered && (this.chosen || now < this.standbyUntil);
  }
}
