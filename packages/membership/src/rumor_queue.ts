/** News that is still being told, each item a bounded number of times. */

/** Items by name; the least told go first. */
export class RumorQueue<Item> {
  private readonly items = new Map<string, {item: Item; told: number}>();

  constructor(private readonly maxItems = 4_096) {}

  /** Adds an item or replaces an older one of the same name. */
  add(name: string, item: Item): void {
    this.items.delete(name);
    if (this.items.size >= this.maxItems) this.dropOldest();
    this.items.set(name, {item, told: 0});
  }

  /** The next items to tell, within a size; each is dropped after `limit` times. */
  take(limit: number, budget: number, sizeOf: (item: Item) => number): Item[] {
    const order = [...this.items.entries()].sort(
      ([, a], [, b]) => a.told - b.told,
    );
    const taken: Item[] = [];
    let left = budget;
    for (const [name, entry] of order) {
      const size = sizeOf(entry.item);
      if (size > left) continue;
      left -= size;
      taken.push(entry.item);
      entry.told++;
      if (entry.told >= limit) this.items.delete(name);
    }
    return taken;
  }

  get size(): number {
    return this.items.size;
  }

  private dropOldest(): void {
    const oldest = this.items.keys().next();
    if (!oldest.done) this.items.delete(oldest.value);
  }
}
