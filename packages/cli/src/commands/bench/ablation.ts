/** `goldcresthill bench ablation`: what each mechanism of routing and admission is worth, in virtual time. */
import {writeFileSync} from 'node:fs';
import {
  DISTURBANCES,
  loadAblationChart,
  runAblationExperiment,
  SITES,
} from '@goldcresthill/bench';
import type {
  AblationChange,
  AblationRow,
  Scenario,
  SiteName,
} from '@goldcresthill/bench';
import {command, flag, number, option, optional, string} from 'cmd-ts';
import {formatTable, print, printError} from '../../output';

const LOAD = 0.75;
const PERCENT = 100;

export const ablationCommand = command({
  name: 'ablation',
  description:
    'Switch off one mechanism at a time, in virtual time, and compare with all of them on. Takes minutes; the same seeds give the same figures.',
  args: {
    load: option({
      type: number,
      long: 'load',
      defaultValue: () => LOAD,
      description: 'fraction of the capacity',
    }),
    seeds: option({type: number, long: 'seeds', defaultValue: () => 1}),
    seconds: option({type: number, long: 'seconds', defaultValue: () => 1}),
    svg: option({
      type: optional(string),
      long: 'svg',
      description: 'file to draw a chart into',
    }),
    asJson: flag({long: 'json', description: 'print JSON lines'}),
  },
  handler: async ({load, seeds, seconds, svg, asJson}) => {
    const scenarios = Object.keys(SITES).flatMap(site =>
      DISTURBANCES.map((disturbance): Scenario => ({
        site: site as SiteName,
        disturbance,
        load,
      })),
    );
    const rows = runAblationExperiment({scenarios, seeds, seconds}, row =>
      printError(`· ${row.site}, ${row.disturbance}: ${row.arm}`),
    );
    print(
      asJson
        ? rows.map(row => JSON.stringify(row)).join('\n')
        : formatRows(rows),
    );
    if (svg === undefined) return;
    const {drawAblation} = await loadAblationChart();
    writeFileSync(svg, drawAblation(rows));
  },
});

function formatRows(rows: readonly AblationRow[]): string {
  const columns = [
    'ARM',
    'P99 %',
    'WORST P99 %',
    'IN',
    'FAILED POINTS',
    'WORST FAILED POINTS',
    'IN',
  ];
  const cells = rows.map(row => [
    row.arm,
    formatChange(row.meanP99Ratio - 1),
    formatChange(row.worstP99.p99Ratio - 1),
    formatScenario(row.worstP99),
    formatChange(row.meanFailedChange),
    formatChange(row.worstFailed.failedChange),
    formatScenario(row.worstFailed),
  ]);
  return formatTable(columns, cells);
}

function formatChange(fraction: number): string {
  const percent = (fraction * PERCENT).toFixed(2);
  return fraction > 0 ? `+${percent}` : percent;
}

function formatScenario({site, disturbance}: AblationChange): string {
  return `${site}, ${disturbance}`;
}
