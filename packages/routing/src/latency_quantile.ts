/** Streaming estimate of one quantile, in constant space. */

const STEP_SHARE = 0.05;
const PERCENT = 100;
/** Observations before the estimate is used. */
const MIN_SAMPLES = 20;

/**
 * Moves up by a share of itself when a sample lies above it and down when it
 * lies below, in the proportion that balances at the quantile.
 */
export class LatencyQuantile {
  private estimate = 0;
  private samples = 0;

  constructor(private quantile: number) {}

  observe(value: number): void {
    this.samples++;
    if (this.estimate === 0) {
      this.estimate = value;
      return;
    }
    const share = this.quantile / PERCENT;
    const step = this.estimate * STEP_SHARE;
    this.estimate += value > this.estimate ? step * share : -step * (1 - share);
  }

  /** The estimate; infinite until there are enough samples. */
  get value(): number {
    return this.samples < MIN_SAMPLES ? Infinity : this.estimate;
  }

  configure(quantile: number): void {
    this.quantile = quantile;
  }
}
