import {describe, expect, it} from 'vitest';
import {drawAblation} from './ablation_chart';
import {compareArms, runAblationExperiment} from './ablation_experiment';
import type {ArmName} from './arms';
import type {RoutingRow, Scenario} from './routing_experiment';

const CALM: Scenario = {site: 'dispatch', disturbance: 'steady', load: 0.5};
const BURST: Scenario = {site: 'dispatch', disturbance: 'burst', load: 0.9};

function rowOf(
  arm: ArmName,
  scenario: Scenario,
  p99Us: number,
  failed: number,
): RoutingRow {
  const counts = {answered: 1_000 - failed, failed};
  const rates = {probesPerCall: 0, attemptsPerCall: 1};
  return {...scenario, ...counts, ...rates, arm, p50Us: 0, p99Us, p999Us: 0};
}

describe('ablation', () => {
  it('compares each arm with all mechanisms in the same scenario, the greatest loss first', () => {
    const rows = compareArms([
      rowOf('ours', CALM, 100, 0),
      rowOf('without locality', CALM, 100, 0),
      rowOf('without hedging', CALM, 200, 10),
      rowOf('ours', BURST, 1_000, 100),
      rowOf('without locality', BURST, 1_000, 100),
      rowOf('without hedging', BURST, 8_000, 80),
    ]);
    const summary = rows.map(row => ({
      arm: row.arm,
      meanP99Ratio: row.meanP99Ratio.toFixed(2),
      worstP99: row.worstP99.disturbance,
      meanFailedChange: row.meanFailedChange.toFixed(3),
      worstFailed: row.worstFailed.disturbance,
    }));
    expect(summary).toMatchInlineSnapshot(`
      [
        {
          "arm": "without hedging",
          "meanFailedChange": "-0.005",
          "meanP99Ratio": "4.00",
          "worstFailed": "steady",
          "worstP99": "burst",
        },
        {
          "arm": "without locality",
          "meanFailedChange": "0.000",
          "meanP99Ratio": "1.00",
          "worstFailed": "steady",
          "worstP99": "steady",
        },
      ]
    `);
  });

  it('draws a bar for each arm', () => {
    const options = {scenarios: [CALM], seeds: 1, seconds: 0.2};
    const svg = drawAblation(runAblationExperiment(options));
    expect(svg).toMatch(/^<svg /);
    expect(svg).toContain('without hedging');
  });
});
