/** `goldcresthill bench routing`: comparison of routing policies in virtual time. */
import {
  ABLATION_ARMS,
  ARMS,
  BASELINE_ARMS,
  DISTURBANCES,
  runRoutingExperiment,
  SITES,
} from '@goldcresthill/bench';
import type {
  ArmName,
  Disturbance,
  RoutingRow,
  Scenario,
  SiteName,
} from '@goldcresthill/bench';
import {command, flag, number, option, string} from 'cmd-ts';
import {EXIT} from '../../exit_codes';
import {formatMs, formatTable, print, printError} from '../../output';

const LOADS = [0.5, 0.75, 0.9];

export const routingCommand = command({
  name: 'routing',
  description:
    'Compare routing policies in virtual time; the same seeds give the same figures.',
  args: {
    site: option({type: string, long: 'site', defaultValue: () => 'catalogue'}),
    disturbance: option({
      type: string,
      long: 'disturbance',
      defaultValue: () => 'all',
    }),
    load: option({type: number, long: 'load', defaultValue: () => 0}),
    arms: option({
      type: string,
      long: 'arms',
      defaultValue: () => 'baselines',
      description: 'baselines, ablation, or comma-separated names',
    }),
    seeds: option({type: number, long: 'seeds', defaultValue: () => 3}),
    seconds: option({type: number, long: 'seconds', defaultValue: () => 5}),
    staleMs: option({type: number, long: 'stale-ms', defaultValue: () => 0}),
    probes: option({
      type: number,
      long: 'probes-per-call',
      defaultValue: () => -1,
      description: 'overrides the probe budgets of the rules',
    }),
    asJson: flag({long: 'json', description: 'print JSON lines'}),
  },
  handler: args => {
    const arms = parseArms(args.arms);
    const scenarios = parseScenarios(args.site, args.disturbance, args.load);
    const rows = runRoutingExperiment(
      {
        scenarios,
        arms,
        seeds: args.seeds,
        seconds: args.seconds,
        staleMs: args.staleMs,
        probesPerCall: args.probes < 0 ? undefined : args.probes,
      },
      row => (args.asJson ? print(JSON.stringify(row)) : undefined),
    );
    if (!args.asJson) print(formatRows(rows));
  },
});

function parseArms(text: string): readonly ArmName[] {
  if (text === 'baselines') return BASELINE_ARMS;
  if (text === 'ablation') return ABLATION_ARMS;
  const names = text.split(',');
  const known = names.filter((name): name is ArmName =>
    Object.hasOwn(ARMS, name),
  );
  if (known.length === names.length) return known;
  return exitWithUsageError(`arms are ${Object.keys(ARMS).join(', ')}`);
}

function parseScenarios(
  site: string,
  disturbance: string,
  load: number,
): Scenario[] {
  if (!Object.hasOwn(SITES, site))
    exitWithUsageError(`sites are ${Object.keys(SITES).join(', ')}`);
  const wanted = DISTURBANCES.filter(
    d => disturbance === 'all' || d === disturbance,
  );
  if (wanted.length === 0)
    exitWithUsageError(`disturbances are all, ${DISTURBANCES.join(', ')}`);
  return wanted.flatMap(d =>
    loadsFor(d, load).map(l => ({
      site: site as SiteName,
      disturbance: d,
      load: l,
    })),
  );
}

// Servers that announce twice their real slots sustain only half of the announced load.
function loadsFor(disturbance: Disturbance, load: number): number[] {
  if (load > 0) return [load];
  return disturbance === 'overclaim' ? [0.3] : LOADS;
}

function exitWithUsageError(text: string): never {
  printError(text);
  process.exit(EXIT.usage);
}

function formatRows(rows: readonly RoutingRow[]): string {
  const columns = [
    'SITE',
    'DISTURBANCE',
    'LOAD',
    'ARM',
    'P50 MS',
    'P99 MS',
    'P99.9 MS',
    'FAILED %',
    'PROBES/CALL',
    'ATTEMPTS/CALL',
  ];
  const cells = rows.map(row => [
    row.site,
    row.disturbance,
    String(row.load),
    row.arm,
    formatMs(row.p50Us),
    formatMs(row.p99Us),
    formatMs(row.p999Us),
    ((100 * row.failed) / Math.max(1, row.failed + row.answered)).toFixed(2),
    row.probesPerCall.toFixed(2),
    row.attemptsPerCall.toFixed(3),
  ]);
  return formatTable(columns, cells);
}
