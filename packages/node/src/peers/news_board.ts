/** News of crashing requests, repeated for a while as datagrams get lost. */
import type {MemberNews} from '@goldcresthill/membership';
import type {Clearance, Strike} from '@goldcresthill/quarantine';
import type {Millis} from '@goldcresthill/types';

/** Time for which news is repeated, milliseconds; a node that starts in that time hears of it. */
const REPEAT_MS = 30_000;
/** Newest entries that a datagram carries, so that it fits into one packet. */
const MAX_ENTRIES = 8;

interface Entry {
  readonly news: MemberNews;
  readonly at: Millis;
}

/** Keeps each piece of news once. */
export class NewsBoard {
  private readonly entries = new Map<string, Entry>();

  /** Takes news; false if it is known. */
  post(now: Millis, news: MemberNews): boolean {
    const key = keyOf(news);
    if (this.entries.has(key)) return false;
    this.evict(now);
    this.entries.set(key, {news, at: now});
    return true;
  }

  /** The newest news. */
  current(now: Millis): {strikes: Strike[]; clearances: Clearance[]} {
    this.evict(now);
    const newest = [...this.entries.values()].slice(-MAX_ENTRIES);
    const strikes: Strike[] = [];
    const clearances: Clearance[] = [];
    for (const {news} of newest) {
      const {fingerprint, at} = news;
      if (news.type === 'clearance') clearances.push({fingerprint, at});
      else strikes.push({fingerprint, instance: news.instance, at});
    }
    return {strikes, clearances};
  }

  private evict(now: Millis): void {
    for (const [key, {at}] of this.entries) {
      if (now - at < REPEAT_MS) return;
      this.entries.delete(key);
    }
  }
}

function keyOf(news: MemberNews): string {
  const instance = news.type === 'strike' ? news.instance : '';
  return `${news.type} ${news.fingerprint} ${instance} ${news.at}`;
}
