/** Registry of counters, gauges and histograms, rendered in the Prometheus text format. */
import {Histogram} from './histogram';

/** Label names and values. */
export type Labels = Readonly<Record<string, string>>;

const QUANTILES: ReadonlyArray<readonly [string, number]> = [
  ['0.5', 50],
  ['0.9', 90],
  ['0.99', 99],
  ['0.999', 99.9],
];
const PREFIX = 'goldcresthill_';

/** All metrics of one process. */
export class Metrics {
  private readonly counters = new Map<string, number>();
  private readonly gauges = new Map<string, () => number>();
  private readonly histograms = new Map<string, Histogram>();

  /** Adds to a counter. */
  count(name: string, labels: Labels = {}, by = 1): void {
    const series = seriesName(name, labels);
    this.counters.set(series, (this.counters.get(series) ?? 0) + by);
  }

  counterValue(name: string, labels: Labels = {}): number {
    return this.counters.get(seriesName(name, labels)) ?? 0;
  }

  /** Registers a gauge whose value is read on each rendering. */
  gauge(name: string, labels: Labels, read: () => number): void {
    this.gauges.set(seriesName(name, labels), read);
  }

  /** Returns the histogram of a series, created on first use. Its name must end in the unit, `_us`. */
  histogram(name: string, labels: Labels = {}): Histogram {
    const series = seriesName(name, labels);
    const existing = this.histograms.get(series);
    if (existing !== undefined) return existing;
    const histogram = new Histogram();
    this.histograms.set(series, histogram);
    return histogram;
  }

  /** All series in the Prometheus text format. */
  renderText(): string {
    const lines: string[] = [];
    for (const [series, value] of this.counters)
      lines.push(`${series} ${value}`);
    for (const [series, read] of this.gauges) lines.push(`${series} ${read()}`);
    for (const [series, histogram] of this.histograms) {
      for (const [quantile, percent] of QUANTILES) {
        const value = histogram.valueAtPercentile(percent);
        lines.push(`${withLabel(series, 'quantile', quantile)} ${value}`);
      }
      lines.push(`${withSuffix(series, '_count')} ${histogram.summary.count}`);
    }
    return `${lines.join('\n')}\n`;
  }
}

function seriesName(name: string, labels: Labels): string {
  const parts = Object.entries(labels).map(
    ([key, value]) => `${key}="${escape(value)}"`,
  );
  return parts.length === 0
    ? `${PREFIX}${name}`
    : `${PREFIX}${name}{${parts.join(',')}}`;
}

function escape(value: string): string {
  return value.replace(/["\\\n]/g, character => `\\${character}`);
}

function withLabel(series: string, key: string, value: string): string {
  const label = `${key}="${value}"`;
  return series.endsWith('}')
    ? `${series.slice(0, -1)},${label}}`
    : `${series}{${label}}`;
}

function withSuffix(series: string, suffix: string): string {
  const brace = series.indexOf('{');
  if (brace < 0) return series + suffix;
  return series.slice(0, brace) + suffix + series.slice(brace);
}
