/** News of crashing requests, repeated for a while as datagrams get lost. */
import type {QuarantineUpdate} from '@goldcresthill/membership';
import type {Millis} from '@goldcresthill/types';

/** Time for which news is repeated, milliseconds; a node that starts in that time hears of it. */
const REPEAT_MS = 30_000;
/** Newest entries that are repeated, so that they fit into one message. */
const MAX_ENTRIES = 8;

interface Entry {
  readonly news: QuarantineUpdate;
  readonly at: Millis;
}

/** Keeps each piece of news once. */
export class NewsBoard {
  private readonly entries = new Map<string, Entry>();

  /** Takes news; false if it is known. */
  post(now: Millis, news: QuarantineUpdate): boolean {
    const key = keyOf(news);
    if (this.entries.has(key)) return false;
    this.evict(now);
    this.entries.set(key, {news, at: now});
    return true;
  }

  /** The newest news. */
  current(now: Millis): QuarantineUpdate[] {
    this.evict(now);
    return [...this.entries.values()].slice(-MAX_ENTRIES).map(e => e.news);
  }

  private evict(now: Millis): void {
    for (const [key, {at}] of this.entries) {
      if (now - at < REPEAT_MS) return;
      this.entries.delete(key);
    }
  }
}

function keyOf(news: QuarantineUpdate): string {
  const instance = news.type === 'strike' ? news.instance : '';
  return `${news.type} ${news.fingerprint} ${instance} ${news.at}`;
}
