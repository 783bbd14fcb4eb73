/** Recent quarantine updates, which are sent again for a while because datagrams get lost. */
import type {QuarantineUpdate} from '@goldcresthill/membership';
import type {Millis} from '@goldcresthill/types';

/** Time for which an update is sent again, milliseconds; a node that starts within this time receives it. */
const RETENTION_MS = 30_000;
/** Number of updates that are sent again, the newest ones; bounded so that they fit into one message. */
const MAX_RESENT = 8;

interface Entry {
  readonly update: QuarantineUpdate;
  readonly addedAt: Millis;
}

/** Keeps each update once. */
export class RecentQuarantineUpdates {
  private readonly entries = new Map<string, Entry>();

  /** Adds an update; returns false if it is already known. */
  add(now: Millis, update: QuarantineUpdate): boolean {
    const key = keyOf(update);
    if (this.entries.has(key)) return false;
    this.evict(now);
    this.entries.set(key, {update, addedAt: now});
    return true;
  }

  /** Returns the newest updates, oldest first. */
  newest(now: Millis): QuarantineUpdate[] {
    this.evict(now);
    return [...this.entries.values()].slice(-MAX_RESENT).map(e => e.update);
  }

  private evict(now: Millis): void {
    for (const [key, {addedAt}] of this.entries) {
      if (now - addedAt < RETENTION_MS) return;
      this.entries.delete(key);
    }
  }
}

function keyOf(update: QuarantineUpdate): string {
  const instance = update.type === 'strike' ? update.instance : '';
  return `${update.type} ${update.fingerprint} ${instance} ${update.at}`;
}
