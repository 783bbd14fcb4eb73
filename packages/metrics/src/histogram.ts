/** Histogram of times in microseconds, by hdr-histogram-js. */
import {build} from 'hdr-histogram-js';
import type {Histogram as Hdr} from 'hdr-histogram-js';

/** Usual percentiles, microseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly mean: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly p999: number;
  readonly max: number;
}

/** Longest time told apart, microseconds. */
const MAX_TRACKABLE_US = 600_000_000;
const SIGNIFICANT_DIGITS = 2;

/** Times in microseconds; values out of range count as the nearest bound. */
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

  /** Adds all of another histogram. */
  merge(other: Histogram): void {
    this.hdr.add(other.hdr);
  }

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
