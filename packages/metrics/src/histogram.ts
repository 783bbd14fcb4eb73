/** Histogram of times in microseconds, by hdr-histogram-js. */
import {build} from 'hdr-histogram-js';
import type {Histogram as Hdr} from 'hdr-histogram-js';

/** Usual percentiles, microseconds. */
export interface Percentiles {
  readonly count: number;
  readonly mean: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly p999: number;
  readonly max: number;
}

/** Longest time told apart, microseconds. */
const HIGHEST_US = 600_000_000;
const DIGITS = 2;

/** Times in microseconds; values out of range count as the nearest bound. */
export class Histogram {
  private readonly hdr: Hdr = build({
    bitBucketSize: 32,
    autoResize: true,
    lowestDiscernibleValue: 1,
    highestTrackableValue: 2,
    numberOfSignificantValueDigits: DIGITS,
    useWebAssembly: false,
  });

  recordUs(us: number): void {
    this.hdr.recordValue(Math.min(HIGHEST_US, Math.max(1, Math.round(us))));
  }

  /** Adds all of another histogram. */
  add(other: Histogram): void {
    this.hdr.add(other.hdr);
  }

  atPercentile(percent: number): number {
    return this.hdr.totalCount === 0
      ? 0
      : this.hdr.getValueAtPercentile(percent);
  }

  get percentiles(): Percentiles {
    return {
      count: this.hdr.totalCount,
      mean: this.hdr.totalCount === 0 ? 0 : this.hdr.mean,
      p50: this.atPercentile(50),
      p90: this.atPercentile(90),
      p99: this.atPercentile(99),
      p999: this.atPercentile(99.9),
      max: this.hdr.totalCount === 0 ? 0 : this.hdr.maxValue,
    };
  }

  reset(): void {
    this.hdr.reset();
  }
}
