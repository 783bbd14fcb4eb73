/** Histogram of durations in microseconds, based on hdr-histogram-js. */
import {build} from 'hdr-histogram-js';
import type {Histogram as Hdr} from 'hdr-histogram-js';

/** Number of recorded durations, and their mean, percentiles and maximum in microseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly mean: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly p999: number;
  readonly max: number;
}

/** Longer durations count as this one, microseconds. */
const MAX_TRACKABLE_US = 600_000_000;
const SIGNIFICANT_DIGITS = 2;

/** Durations in microseconds, to two significant digits; values out of range count as the nearest bound. */
export class Histogram {
  private readonly hdr: Hdr = build({
    bitBucketSize: 32,
    autoResize: true,
    lowestDiscernibleValue: 1,
    highestTrackableValue: 2,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    useWebAssembly: false,
  });

  recordUs(us: number): void {
    this.hdr.recordValue(
      Math.min(MAX_TRACKABLE_US, Math.max(1, Math.round(us))),
    );
  }

  /** Adds all values of another histogram. */
  merge(other: Histogram): void {
    this.hdr.add(other.hdr);
  }

  /** Value at a percentile, 0 to 100, in microseconds; 0 if nothing was recorded. */
  valueAtPercentile(percent: number): number {
    return this.hdr.totalCount === 0
      ? 0
      : this.hdr.getValueAtPercentile(percent);
  }

  get summary(): LatencySummary {
    return {
      count: this.hdr.totalCount,
      mean: this.hdr.totalCount === 0 ? 0 : this.hdr.mean,
      p50: this.valueAtPercentile(50),
      p90: this.valueAtPercentile(90),
      p99: this.valueAtPercentile(99),
      p999: this.valueAtPercentile(99.9),
      max: this.hdr.totalCount === 0 ? 0 : this.hdr.maxValue,
    };
  }

  reset(): void {
    this.hdr.reset();
  }
}
