/** Queue of items to disseminate, each sent a bounded number of times. */

/** Items by key; those sent least often go first. */
export class RumorQueue<Item> {
  private readonly items = new Map<string, {item: Item; sendCount: number}>();

  constructor(private readonly maxItems = 4_096) {}

  /** Adds an item or replaces the one with the same key; drops the oldest item if the queue is full. */
  add(key: string, item: Item): void {
    this.items.delete(key);
    if (this.items.size >= this.maxItems) this.dropOldest();
    this.items.set(key, {item, sendCount: 0});
  }

  /** Returns the next items that fit into `maxBytes`; an item is removed once sent `maxSends` times. */
  take(
    maxSends: number,
    maxBytes: number,
    sizeOf: (item: Item) => number,
  ): Item[] {
    const leastSentFirst = [...this.items.entries()].sort(
      ([, a], [, b]) => a.sendCount - b.sendCount,
    );
    const batch: Item[] = [];
    let left = maxBytes;
    for (const [key, entry] of leastSentFirst) {
      const size = sizeOf(entry.item);
      if (size > left) continue;
      left -= size;
      batch.push(entry.item);
      entry.sendCount++;
      if (entry.sendCount >= maxSends) this.items.delete(key);
    }
    return batch;
  }

  get size(): number {
    return this.items.size;
  }

  private dropOldest(): void {
    const oldest = this.items.keys().next();
    if (!oldest.done) this.items.delete(oldest.value);
  }
}
