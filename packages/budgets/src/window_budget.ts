/** A budget for extra work, as a percentage of the traffic in a sliding window. */
import {invariant} from '@goldcresthill/types';
import type {Millis} from '@goldcresthill/types';

/** Options of {@link WindowBudget}. */
export interface WindowBudgetOptions {
  /** Extra work per unit of traffic, percent. */
  readonly percent: number;
  /** Extra work allowed in each window regardless of traffic. */
  readonly burst?: number;
  /** Length of the window, milliseconds. */
  readonly windowMs?: Millis;
}

const PERCENT = 100;
const DEFAULT_BURST = 10;
const DEFAULT_WINDOW_MS = 10_000;
/** Cells that a window is divided into for counting. */
const CELLS_PER_WINDOW = 20;
/** Cells stored: a window that ends within a cell overlaps one more. */
const STORED_CELLS = CELLS_PER_WINDOW + 1;
/** Rounding errors that the checks tolerate, grants. */
const ROUNDING_TOLERANCE = 1e-6;

/**
 * Grants in any window at most `burst` plus a percentage of the traffic in the
 * window that ends at the same time. The grants of several budgets therefore add
 * up to at most that percentage of their common traffic plus the sum of their
 * bursts.
 */
export class WindowBudget {
  private readonly traffic = new Float64Array(STORED_CELLS);
  private readonly granted = new Float64Array(STORED_CELLS);
  private currentCell = 0;
  private share: number;
  private burst: number;
  private cellMs: Millis;

  constructor(options: WindowBudgetOptions) {
    this.share = options.percent / PERCENT;
    this.burst = options.burst ?? DEFAULT_BURST;
    this.cellMs = (options.windowMs ?? DEFAULT_WINDOW_MS) / CELLS_PER_WINDOW;
  }

  /** Records one unit of traffic. */
  record(now: Millis): void {
    this.advanceTo(now);
    this.increment(this.traffic);
  }

  /** Takes one unit of extra work if the budget allows it; returns whether it did. A budget of 0 percent grants nothing. */
  take(now: Millis): boolean {
    this.advanceTo(now);
    if (this.share === 0) return false;
    const allowed = this.spent + 1 <= this.allowance + ROUNDING_TOLERANCE;
    if (!allowed) return false;
    this.increment(this.granted);
    invariant(
      this.spent <= this.allowance + ROUNDING_TOLERANCE,
      'budget',
      () => `${this.spent} granted, ${this.allowance} allowed in a window`,
    );
    return true;
  }

  /** Changes the options; extra work already granted still counts. */
  configure(options: WindowBudgetOptions): void {
    this.share = options.percent / PERCENT;
    this.burst = options.burst ?? DEFAULT_BURST;
    const cellMs = (options.windowMs ?? DEFAULT_WINDOW_MS) / CELLS_PER_WINDOW;
    // Earlier grants move to the newest cell and earlier traffic is dropped, which never grants more than before.
    if (cellMs !== this.cellMs) this.changeCellLength(cellMs);
  }

  /** Extra work granted in the window that ends now. */
  get spent(): number {
    return sum(this.granted);
  }

  // The oldest cell lies only partly in the window, so its traffic is left out.
  private get allowance(): number {
    const oldest = this.traffic[(this.currentCell + 1) % STORED_CELLS] ?? 0;
    return this.share * (sum(this.traffic) - oldest) + this.burst;
  }

  private changeCellLength(cellMs: Millis): void {
    const spent = this.spent;
    this.currentCell = Math.floor((this.currentCell * this.cellMs) / cellMs);
    this.cellMs = cellMs;
    this.traffic.fill(0);
    this.granted.fill(0);
    this.granted[this.currentCell % STORED_CELLS] = spent;
  }

  private increment(counts: Float64Array): void {
    const index = this.currentCell % STORED_CELLS;
    counts[index] = (counts[index] ?? 0) + 1;
  }

  // With a clock that steps back, counts go into the newest cell.
  private advanceTo(now: Millis): void {
    const cell = Math.floor(now / this.cellMs);
    if (cell <= this.currentCell) return;
    const passed = Math.min(STORED_CELLS, cell - this.currentCell);
    for (let i = 0; i < passed; i++) {
      this.traffic[(cell - i) % STORED_CELLS] = 0;
      this.granted[(cell - i) % STORED_CELLS] = 0;
    }
    this.currentCell = cell;
  }
}

function sum(counts: Float64Array): number {
  return counts.reduce((total, count) => total + count, 0);
}
