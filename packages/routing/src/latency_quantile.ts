/** Streaming estimate of one quantile, in constant space. */

/** Step of one observation, as a share of the estimate. */
const STEP_SHARE = 0.05;
const PERCENT = 100;
/** Observations needed before there is an estimate. */
const MIN_SAMPLES = 20;

/**
 * Quantile estimate by stochastic approximation. A sample above the estimate
 * raises it and a sample below lowers it, by steps whose ratio balances at the
 * quantile. The quantile is given in percent.
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

  /** The estimate, in the unit of the samples; Infinity until there are enough samples. */
  get value(): number {
    return this.samples < MIN_SAMPLES ? Infinity : this.estimate;
  }

  configure(quantile: number): void {
    this.quantile = quantile;
  }
}
