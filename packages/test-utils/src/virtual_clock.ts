/** Virtual time: events run in the order of their time, without waiting. */

interface ScheduledEvent {
  readonly at: number;
  readonly sequence: number;
  readonly run: () => void;
}

/** Longest chain of promises that is run to its end after an event. */
const MICROTASK_TURNS = 12;

async function runMicrotasks(): Promise<void> {
  for (let i = 0; i < MICROTASK_TURNS; i++) await undefined;
}

/** A queue of events ordered by time and, at the same time, by insertion. */
export class VirtualClock {
  private readonly heap: ScheduledEvent[] = [];
  private nextSequence = 0;
  /** Virtual time, milliseconds. */
  now = 0;

  /** Schedules a function to run after a delay, milliseconds. */
  after(delayMs: number, run: () => void): void {
    this.push({
      at: this.now + Math.max(0, delayMs),
      sequence: this.nextSequence++,
      run,
    });
  }

  /** Runs all events up to and including a time, and advances the clock to it. */
  runUntil(end: number): void {
    for (;;) {
      const next = this.heap[0];
      if (next === undefined || next.at > end) break;
      this.pop();
      this.now = next.at;
      next.run();
    }
    this.now = Math.max(this.now, end);
  }

  /** Like `runUntil`, but runs pending promise callbacks before each event. */
  async runUntilSettled(end: number): Promise<void> {
    for (;;) {
      await runMicrotasks();
      const next = this.heap[0];
      if (next === undefined || next.at > end) break;
      this.pop();
      this.now = next.at;
      next.run();
    }
    this.now = Math.max(this.now, end);
  }

  get pendingEvents(): number {
    return this.heap.length;
  }

  private push(event: ScheduledEvent): void {
    this.heap.push(event);
    let index = this.heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.swapIfLess(index, parent)) return;
      index = parent;
    }
  }

  private pop(): void {
    const last = this.heap.pop();
    if (last === undefined || this.heap.length === 0) return;
    this.heap[0] = last;
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      let least = index;
      if (this.isLess(left, least)) least = left;
      if (this.isLess(right, least)) least = right;
      if (least === index) return;
      this.swapIfLess(least, index);
      index = least;
    }
  }

  private isLess(i: number, j: number): boolean {
    const a = this.heap[i];
    const b = this.heap[j];
    if (a === undefined || b === undefined) return false;
    return a.at < b.at || (a.at === b.at && a.sequence < b.sequence);
  }

  private swapIfLess(i: number, j: number): boolean {
    const a = this.heap[i];
    const b = this.heap[j];
    if (a === undefined || b === undefined || !this.isLess(i, j)) return false;
    this.heap[i] = b;
    this.heap[j] = a;
    return true;
  }
}
