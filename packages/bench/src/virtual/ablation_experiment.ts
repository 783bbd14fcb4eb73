/** Measures what each mechanism of routing and admission is worth, by switching one off at a time. */
import type {ArmName} from './arms';
import {ABLATION_ARMS} from './arms';
import {runRoutingExperiment} from './routing_experiment';
import type {RoutingRow, Scenario} from './routing_experiment';

/** Options of an ablation experiment. */
export interface AblationOptions {
  readonly scenarios: readonly Scenario[];
  /** Trials per arm and scenario, with the seeds from 1. */
  readonly seeds: number;
  /** Duration of a trial after its warm-up, in virtual time. */
  readonly seconds: number;
}

/** What changes in one scenario when a mechanism is switched off. */
export interface AblationChange extends Scenario {
  /** 99th percentile of the latency, as a multiple of the one with all mechanisms. */
  readonly p99Ratio: number;
  /** Share of calls that fail, less the share with all mechanisms. */
  readonly failedChange: number;
}

/** What changes when a mechanism is switched off, over all scenarios. */
export interface AblationRow {
  readonly arm: ArmName;
  readonly changes: readonly AblationChange[];
  /** Geometric mean over the scenarios. */
  readonly meanP99Ratio: number;
  /** The scenario in which the latency grows most. */
  readonly worstP99: AblationChange;
  readonly meanFailedChange: number;
  /** The scenario in which the share of failed calls grows most. */
  readonly worstFailed: AblationChange;
}

const FULL_ARM = 'ours';

/** Runs all ablation arms in all scenarios; `onTrial` is called after each arm in each scenario. */
export function runAblationExperiment(
  options: AblationOptions,
  onTrial: (row: RoutingRow) => void = () => undefined,
): AblationRow[] {
  const rows = runRoutingExperiment({...options, arms: ABLATION_ARMS}, onTrial);
  return compareArms(rows);
}

/** Compares the rows of each arm with those of the arm with all mechanisms; the greatest loss first. */
export function compareArms(rows: readonly RoutingRow[]): AblationRow[] {
  const full = new Map(
    rows.filter(row => row.arm === FULL_ARM).map(row => [keyOf(row), row]),
  );
  const changes = new Map<ArmName, AblationChange[]>();
  for (const row of rows) {
    const base = full.get(keyOf(row));
    if (row.arm === FULL_ARM || base === undefined) continue;
    const list = changes.get(row.arm) ?? [];
    list.push(changeFrom(base, row));
    changes.set(row.arm, list);
  }
  return [...changes]
    .flatMap(([arm, list]) => summarize(arm, list) ?? [])
    .sort((a, b) => b.meanP99Ratio - a.meanP99Ratio);
}

function summarize(
  arm: ArmName,
  changes: readonly AblationChange[],
): AblationRow | undefined {
  const worstP99 = maxBy(changes, change => change.p99Ratio);
  const worstFailed = maxBy(changes, change => change.failedChange);
  if (worstP99 === undefined || worstFailed === undefined) return undefined;
  const logs = changes.map(change => Math.log(change.p99Ratio));
  return {
    arm,
    changes,
    meanP99Ratio: Math.exp(mean(logs)),
    worstP99,
    meanFailedChange: mean(changes.map(change => change.failedChange)),
    worstFailed,
  };
}

function changeFrom(base: RoutingRow, row: RoutingRow): AblationChange {
  const {site, disturbance, load} = row;
  return {
    site,
    disturbance,
    load,
    p99Ratio: row.p99Us / base.p99Us,
    failedChange: failedShare(row) - failedShare(base),
  };
}

function failedShare({answered, failed}: RoutingRow): number {
  return failed / Math.max(1, answered + failed);
}

function keyOf({site, disturbance, load}: Scenario): string {
  return `${site}, ${disturbance}, ${load}`;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function maxBy<T>(
  items: readonly T[],
  value: (item: T) => number,
): T | undefined {
  return items.reduce<T | undefined>(
    (best, item) =>
      best === undefined || value(item) > value(best) ? item : best,
    undefined,
  );
}
