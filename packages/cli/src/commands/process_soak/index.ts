/** `goldcresthill process-soak`: the program of the platform as real processes under seeded disturbances. */
import {parseSoakBounds, runProcessSoak} from '@goldcresthill/bench';
import type {ProcessSoakReport, SoakProfile} from '@goldcresthill/bench';
import {command, flag, number, oneOf, option, optional, string} from 'cmd-ts';
import {EXIT} from '../../exit_codes';
import {readInput} from '../../input';
import {print, printError} from '../../output';

const MILLIS_PER_SECOND = 1_000;
const BYTES_PER_MB = 1_048_576;
const PROFILES: readonly SoakProfile[] = ['planned', 'mixed'];

export const processSoakCommand = command({
  name: 'process-soak',
  description:
    'Run the built program of the platform as real processes, stop, kill, freeze and reload them, and check what callers and servers see. Run it in the root of the repository.',
  args: {
    bounds: option({
      type: string,
      long: 'bounds',
      defaultValue: () => 'deploy/soak.toml',
      description: 'TOML file with the bounds of the deployment',
    }),
    seed: option({type: number, long: 'seed', defaultValue: () => 1}),
    runs: option({
      type: number,
      long: 'runs',
      defaultValue: () => 1,
      description: 'number of seeds, counted up from the first',
    }),
    profile: option({
      type: optional(oneOf(PROFILES)),
      long: 'profile',
      description:
        'planned work only, or faults as well; by default planned for odd seeds and mixed for even ones',
    }),
    seconds: option({type: number, long: 'seconds', defaultValue: () => 15}),
    vms: option({type: number, long: 'vms', defaultValue: () => 6}),
    clients: option({type: number, long: 'clients', defaultValue: () => 3}),
    intervalMs: option({
      type: number,
      long: 'interval-ms',
      defaultValue: () => 700,
      description: 'mean time between disturbances',
    }),
    keepLogs: flag({
      long: 'keep-logs',
      description: 'keep the logs of the processes if a check fails',
    }),
  },
  handler: async ({bounds, seed, runs, profile, seconds, ...args}) => {
    const parsed = parseSoakBounds(readInput(bounds));
    let failed = 0;
    for (let i = 0; i < runs; i++) {
      const options = {
        seed: seed + i,
        profile: profile ?? profileOf(seed + i),
        vms: args.vms,
        clientsPerVm: args.clients,
        intervalMs: args.intervalMs,
        durationMs: seconds * MILLIS_PER_SECOND,
      };
      const report = await runProcessSoak({
        ...options,
        root: process.cwd(),
        bounds: parsed,
        keepsLogs: args.keepLogs,
      });
      printReport(options.seed, options.profile, report);
      if (report.failures.length === 0) continue;
      failed++;
      print(
        `repeat: goldcresthill process-soak --bounds ${bounds} --seed ${options.seed} --profile ${options.profile} --seconds ${seconds} --vms ${args.vms} --clients ${args.clients} --interval-ms ${args.intervalMs} --keep-logs`,
      );
    }
    print(`${runs} seeds from ${seed}, ${failed} failed`);
    process.exitCode = failed === 0 ? EXIT.ok : EXIT.checkFailed;
  },
});

function profileOf(seed: number): SoakProfile {
  return seed % 2 === 0 ? 'mixed' : 'planned';
}

function printReport(
  seed: number,
  profile: SoakProfile,
  report: ProcessSoakReport,
): void {
  const {requests, runs, actions, ends, peakMemoryBytes, failures} = report;
  const memory = Math.round(peakMemoryBytes / BYTES_PER_MB);
  printError(
    `· seed ${seed}, ${profile}: ${actions} actions, ${requests} requests, ${runs} runs, ${memory} MB at most, ${JSON.stringify(ends)}`,
  );
  for (const {check, detail} of failures)
    print(`seed ${seed}: ${check}: ${detail}`);
  if (report.logs !== undefined) print(`logs: ${report.logs}`);
}
