/** Queue of requests at a gate, ordered by urgency. */
import type {Millis} from '@goldcresthill/types';

/** The properties of a request that decide its position in the queue. */
export interface QueueEntry {
  /** Identifies the request at its gate. */
  readonly ref: number;
  /** Priority of the call; 0 is the most urgent. */
  readonly priority: number;
  /** Latest time at which an answer still has its full value. */
  readonly objective: Millis;
  /** Whether the caller was refused before. */
  readonly returning: boolean;
}

/** Estimates when a request ends if it starts now. */
export type EstimateEnd<Item> = (item: Item) => Millis;

/**
 * Orders requests that can still meet their objective before those that
 * cannot. Within both groups it orders by priority, then callers that were
 * refused before ahead of new ones, then by arrival.
 */
export class RequestQueue<Item extends QueueEntry> {
  private readonly items = new Map<number, Item>();

  add(item: Item): void {
    this.items.set(item.ref, item);
  }

  /** Removes and returns a request; undefined if it is not queued. */
  remove(ref: number): Item | undefined {
    const item = this.items.get(ref);
    this.items.delete(ref);
    return item;
  }

  /** The first request among those that may start now. */
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

  /** Number of requests ahead of another one, which may be queued here or new. */
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

  /** The request to evict for `other`: the last of the least urgent ones, if any is less urgent than `other`. */
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
