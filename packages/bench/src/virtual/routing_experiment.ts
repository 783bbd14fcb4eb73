/** Compares routing arms over scenarios and seeds. */
import {ARMS} from './arms';
import type {ArmName} from './arms';
import {runRoutingTrial} from './routing_trial';
import type {RoutingTrialResult, RoutingTrialOptions} from './routing_trial';
import {SITES} from './scenario';
import type {Disturbance, SiteName} from './scenario';

/** A site under a disturbance at a load, which is a fraction of the site's capacity. */
export interface Scenario {
  readonly site: SiteName;
  readonly disturbance: Disturbance;
  readonly load: number;
}

/** Options of a routing experiment. */
export interface RoutingExperimentOptions {
  readonly scenarios: readonly Scenario[];
  readonly arms: readonly ArmName[];
  /** Trials per arm and scenario, with the seeds from 1. */
  readonly seeds: number;
  /** Duration of a trial after its warm-up, in virtual time. */
  readonly seconds: number;
  /** Age of load reports when the gateway receives them, milliseconds; 0 by default. */
  readonly staleMs?: number;
  /** Probes per call; overrides the probe rules of the arms. */
  readonly probesPerCall?: number;
}

/** Means over the seeds for one arm in one scenario. */
export interface RoutingRow extends Scenario {
  readonly arm: ArmName;
  readonly p50Us: number;
  readonly p99Us: number;
  readonly p999Us: number;
  readonly answered: number;
  readonly failed: number;
  readonly probesPerCall: number;
  readonly attemptsPerCall: number;
}

const PERCENT = 100;
const UNLIMITED = 1e9;

/** Runs all arms in all scenarios; calls `onRow` with each row as soon as it is measured. */
export function runRoutingExperiment(
  options: RoutingExperimentOptions,
  onRow: (row: RoutingRow) => void = () => undefined,
): RoutingRow[] {
  const rows: RoutingRow[] = [];
  for (const scenario of options.scenarios) {
    for (const arm of options.arms) {
      const row = runArm(scenario, arm, options);
      rows.push(row);
      onRow(row);
    }
  }
  return rows;
}

function runArm(
  scenario: Scenario,
  arm: ArmName,
  options: RoutingExperimentOptions,
): RoutingRow {
  const trials: RoutingTrialResult[] = [];
  for (let seed = 1; seed <= options.seeds; seed++) {
    trials.push(runRoutingTrial(trialOptions(scenario, arm, seed, options)));
  }
  const mean = (value: (trial: RoutingTrialResult) => number): number =>
    trials.reduce((sum, trial) => sum + value(trial), 0) / trials.length;
  return {
    ...scenario,
    arm,
    p50Us: mean(t => t.latencyUs.p50),
    p99Us: mean(t => t.latencyUs.p99),
    p999Us: mean(t => t.latencyUs.p999),
    answered: mean(t => t.answered),
    failed: mean(t => t.failed),
    probesPerCall: mean(t => t.probesPerCall),
    attemptsPerCall: mean(t => t.attemptsPerCall),
  };
}

function trialOptions(
  scenario: Scenario,
  arm: ArmName,
  seed: number,
  options: RoutingExperimentOptions,
): RoutingTrialOptions {
  const {site, disturbance, load} = scenario;
  const base: RoutingTrialOptions = {
    ...ARMS[arm],
    site: SITES[site],
    disturbance,
    load,
    seed,
    seconds: options.seconds,
    staleMs: options.staleMs,
  };
  if (options.probesPerCall === undefined) return base;
  const probes = {
    probePercent: options.probesPerCall * PERCENT,
    probesPerSecond: UNLIMITED,
    probeBytesPerSecond: UNLIMITED,
  };
  return {...base, rules: {...base.rules, ...probes}};
}
