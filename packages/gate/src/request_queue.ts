/** Requests that wait at a gate, and whose turn is next. */
import type {Millis} from '@goldcresthill/types';

/** What decides a request's place. */
export interface QueueEntry {
  /** Names the request at its gate. */
  readonly ref: number;
  /** Rank of the call; 0 goes first. */
  readonly priority: number;
  /** Instant up to which an answer is worth its full value. */
  readonly objective: Millis;
  /** The caller was refused before. */
  readonly returning: boolean;
}

/** When a request is expected to end if it starts now. */
export type EstimateEnd<Item> = (item: Item) => Millis;

/**
 * Those that can still be answered within their objective go first, by
 * priority, callers that were refused before ahead of new ones, and then in
 * order of arrival; the others follow in the same order.
 */
export class RequestQueue<Item extends QueueEntry> {
  private readonly items = new Map<number, Item>();

  add(item: Item): void {
    this.items.set(item.ref, item);
  }

  /** Takes a request out; undefined if it does not wait. */
  remove(ref: number): Item | undefined {
    const item = this.items.get(ref);
    this.items.delete(ref);
    return item;
  }

  /** Whose turn it is, among those that may start now. */
  next(
    estimateEnd: EstimateEnd<Item>,
    mayStart: (item: Item) => boolean = () => true,
  ): Item | undefined {
    let best: Item | undefined;
    for (const item of this.items.values()) {
      if (!mayStart(item)) continue;
      if (best === undefined || precedes(item, best, estimateEnd)) best = item;
    }
    return best;
  }

  /** Requests that go before another one, which may wait here itself or be new. */
  countAhead<Other extends QueueEntry>(
    other: Other,
    estimateEnd: EstimateEnd<Item | Other>,
  ): number {
    let count = 0;
    let arrivedAfterOther = false;
    for (const item of this.items.values()) {
      if (item.ref === other.ref) {
        arrivedAfterOther = true;
        continue;
      }
      const isAhead = arrivedAfterOther
        ? precedes<Item | Other>(item, other, estimateEnd)
        : !precedes<Item | Other>(other, item, estimateEnd);
      if (isAhead) count++;
    }
    return count;
  }

  /** The request that gives way to another, if any does: the last of the least urgent ones. */
  evictionCandidate(other: QueueEntry): Item | undefined {
    let last: Item | undefined;
    for (const item of this.items.values()) {
      if (!mayBeEvictedFor(item, other)) continue;
      if (last === undefined || !mayBeEvictedFor(last, item)) last = item;
    }
    return last;
  }

  get size(): number {
    return this.items.size;
  }

  [Symbol.iterator](): IterableIterator<Item> {
    return [...this.items.values()][Symbol.iterator]();
  }
}

function mayBeEvictedFor(item: QueueEntry, other: QueueEntry): boolean {
  if (item.priority !== other.priority) return item.priority > other.priority;
  return other.returning && !item.returning;
}

function precedes<Item extends QueueEntry>(
  a: Item,
  b: Item,
  estimateEnd: EstimateEnd<Item>,
): boolean {
  const aInTime = a.objective >= estimateEnd(a);
  const bInTime = b.objective >= estimateEnd(b);
  if (aInTime !== bInTime) return aInTime;
  if (a.priority !== b.priority) return a.priority < b.priority;
  return a.returning && !b.returning;
}
