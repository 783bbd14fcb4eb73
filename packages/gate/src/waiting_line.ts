/** Requests that wait at a gate, and whose turn is next. */
import type {Millis} from '@goldcresthill/types';

/** What decides a request's place. */
export interface Waiting {
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
export type EndOf<Item> = (item: Item) => Millis;

/**
 * Those that can still be answered within their objective go first, by
 * priority, callers that were refused before ahead of new ones, and then in
 * order of arrival; the others follow in the same order.
 */
export class WaitingLine<Item extends Waiting> {
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
    endOf: EndOf<Item>,
    mayStart: (item: Item) => boolean = () => true,
  ): Item | undefined {
    let best: Item | undefined;
    for (const item of this.items.values()) {
      if (!mayStart(item)) continue;
      if (best === undefined || goesBefore(item, best, endOf)) best = item;
    }
    return best;
  }

  /** Requests that go before another one, which may wait here itself or be new. */
  countBefore<Other extends Waiting>(
    other: Other,
    endOf: EndOf<Item | Other>,
  ): number {
    let count = 0;
    let cameLater = false;
    for (const item of this.items.values()) {
      if (item.ref === other.ref) {
        cameLater = true;
        continue;
      }
      const before = cameLater
        ? goesBefore<Item | Other>(item, other, endOf)
        : !goesBefore<Item | Other>(other, item, endOf);
      if (before) count++;
    }
    return count;
  }

  /** The request that gives way to another, if any does: the last of the least urgent ones. */
  leastUrgent(other: Waiting): Item | undefined {
    let last: Item | undefined;
    for (const item of this.items.values()) {
      if (!givesWay(item, other)) continue;
      if (last === undefined || !givesWay(last, item)) last = item;
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

function givesWay(item: Waiting, other: Waiting): boolean {
  if (item.priority !== other.priority) return item.priority > other.priority;
  return other.returning && !item.returning;
}

function goesBefore<Item extends Waiting>(
  a: Item,
  b: Item,
  endOf: EndOf<Item>,
): boolean {
  const aInTime = a.objective >= endOf(a);
  const bInTime = b.objective >= endOf(b);
  if (aInTime !== bInTime) return aInTime;
  if (a.priority !== b.priority) return a.priority < b.priority;
  return a.returning && !b.returning;
}
