/** Decides when a node asks the object store for the configuration by itself. */
import type {Millis} from '@goldcresthill/types';

/** Knowledge of the store that nodes share: a revision of the configuration was the newest one some time ago. */
export interface Confirmation {
  readonly revision: number;
  /** Time since the store answered, milliseconds. */
  readonly ageMs: Millis;
}

export interface WatchDutyOptions {
  /** Age of the newest confirmation of the configuration in force beyond which a node reads the store by itself, milliseconds. */
  readonly maxAgeMs: Millis;
  /** Additional wait after the start, while a node is not expected to know others, milliseconds. */
  readonly startupGraceMs?: Millis;
  /** Time for which a node that replaces the chosen watchers watches, milliseconds. */
  readonly standbyMs?: Millis;
}

/** Age reported before any confirmation, milliseconds. */
const NEVER_CONFIRMED_AGE_MS = 1_000_000_000;
const DEFAULT_STANDBY_MS = 10_000;
/** Answered reads in a row, without a confirmation by another node, after which a node watches. */
const READS_TO_WATCH = 2;
/** Time by which a confirmation of this node may seem newer when it comes back from another one, milliseconds. */
const ECHO_MS = 250;

/**
 * A few chosen nodes watch the configuration. Every answer of the store to one
 * of them confirms the configuration in force, and all messages between nodes
 * carry the age of the newest confirmation. An open watch confirms nothing, as
 * it may have gone silent. Once the age is too high, the nodes read the store
 * one after the other until it answers one of them. That one goes first the
 * next time and then watches for a while, unless another node confirms.
 */
export class WatchDuty {
  private chosen = false;
  private leaving = false;
  private heldRevision = 0;
  /** Time as of which the configuration in force is known to be the newest. */
  private confirmedAt: Millis;
  /** Newest confirmation of a revision that this node does not have yet. */
  private pending: {revision: number; at: Millis} | undefined;
  /** Until then this node does not read the store by itself, unless it is a watcher. */
  private holdOffUntil: Millis;
  /** Until then this node replaces the chosen watchers. */
  private standbyUntil: Millis = -Infinity;
  private turnDelayMs = 0;
  private wasConfirmed = false;
  /** Time as of which the store answered this node last. */
  private answeredAt: Millis = -Infinity;
  /** Reads that were answered since another node's last confirmation and were due because there was none. */
  private ownReads = 0;

  constructor(
    now: Millis,
    private readonly options: WatchDutyOptions,
  ) {
    this.confirmedAt = now - NEVER_CONFIRMED_AGE_MS;
    const {maxAgeMs, startupGraceMs} = options;
    this.holdOffUntil =
      startupGraceMs === undefined ? now : now + maxAgeMs + startupGraceMs;
  }

  /** Sets whether this node is a chosen watcher. */
  setChosen(chosen: boolean): void {
    this.chosen = chosen;
  }

  /** Sets that this node leaves: others no longer count on it and tell it nothing, so it watches by itself. */
  setLeaving(): void {
    this.leaving = true;
  }

  /** Sets how long this node leaves it to others to read the store first, milliseconds. */
  setTurnDelay(delayMs: Millis): void {
    this.turnDelayMs = delayMs;
  }

  /** Sets the revision of the configuration in force at this node. */
  setHeldRevision(revision: number): void {
    this.heldRevision = revision;
    const {pending} = this;
    if (pending === undefined || pending.revision > revision) return;
    this.pending = undefined;
    if (pending.revision === revision) this.confirm(pending.at);
  }

  /** Records that another node has a confirmation. */
  recordConfirmation(now: Millis, {revision, ageMs}: Confirmation): void {
    const at = now - Math.max(0, ageMs);
    if (revision === this.heldRevision) {
      this.confirm(at);
      if (at > this.answeredAt + ECHO_MS) this.yieldToOthers();
    }
    if (revision <= this.heldRevision) return;
    const {pending} = this;
    if (
      pending === undefined ||
      revision > pending.revision ||
      (revision === pending.revision && at > pending.at)
    )
      this.pending = {revision, at};
  }

  /** Records that the store answered this node, which has put what it returned into force. `asOf` is the time whose state it returned. */
  recordAnswer(now: Millis, asOf: Millis): void {
    // The first read after a start is due anyway.
    const isOwnRead = this.wasConfirmed && this.msUntilRead(now) === 0;
    if (isOwnRead && !this.isWatcher(now)) {
      const {standbyMs = DEFAULT_STANDBY_MS} = this.options;
      this.ownReads++;
      if (this.ownReads >= READS_TO_WATCH) this.standbyUntil = now + standbyMs;
    }
    this.answeredAt = asOf;
    this.confirm(asOf);
  }

  /** Records that the store did not answer this node. */
  recordFailure(now: Millis): void {
    if (!this.isWatcher(now)) this.holdOffUntil = now + this.options.maxAgeMs;
  }

  /** What this node tells the others. */
  confirmation(now: Millis): Confirmation {
    return {revision: this.heldRevision, ageMs: now - this.confirmedAt};
  }

  /** Whether this node watches the store. */
  isWatcher(now: Millis): boolean {
    return this.chosen || this.leaving || now < this.standbyUntil;
  }

  /** Time until this node is to read the store by itself if no newer confirmation arrives, milliseconds. */
  msUntilRead(now: Millis): Millis {
    const {maxAgeMs} = this.options;
    // A node that the store has just answered goes first.
    const delayMs = this.ownReads > 0 ? 0 : this.turnDelayMs;
    const dueAt = this.confirmedAt + maxAgeMs + delayMs;
    return Math.max(0, dueAt - now, this.holdOffUntil - now);
  }

  // Another node watches, so that this one need not.
  private yieldToOthers(): void {
    this.ownReads = 0;
    this.standbyUntil = -Infinity;
  }

  private confirm(at: Millis): void {
    this.wasConfirmed = true;
    this.confirmedAt = Math.max(this.confirmedAt, at);
  }
}
