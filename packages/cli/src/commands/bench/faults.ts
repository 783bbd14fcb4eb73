/** `goldcresthill bench faults`: fault injection on real processes under load. */
import {runFaultExperiment} from '@goldcresthill/bench';
import {seededRandom} from '@goldcresthill/test-utils';
import {command, flag} from 'cmd-ts';
import {EXIT} from '../../exit_codes';
import {currentCommand} from '../../input';
import {formatMs, formatTable, print, printError} from '../../output';

export const faultsCommand = command({
  name: 'faults',
  description:
    'Inject faults under load: SIGTERM, kill -9, SIGSTOP, a dead server and a store outage.',
  args: {asJson: flag({long: 'json', description: 'print JSON'})},
  handler: async ({asJson}) => {
    const report = await runFaultExperiment({
      command: currentCommand(),
      random: seededRandom(1),
      onProgress: line => printError(`· ${line}`),
    });
    process.exitCode = report.ok ? EXIT.ok : EXIT.checkFailed;
    if (asJson) return print(JSON.stringify(report));
    const rows = report.streams.map(s => [
      s.name,
      String(s.sent),
      String(s.answered),
      String(s.refusedSafely),
      String(s.unknown),
      String(s.wrong),
      formatMs(s.latencyUs.p50),
      formatMs(s.latencyUs.p99),
      JSON.stringify(s.kinds),
    ]);
    const columns = [
      'STREAM',
      'SENT',
      'ANSWERED',
      'NOT RUN',
      'UNKNOWN',
      'WRONG',
      'P50 MS',
      'P99 MS',
      'KINDS',
    ];
    print(formatTable(columns, rows));
    print(
      `run twice: ${report.ranTwice}; invariants broken: ${report.brokenInvariants}`,
    );
    print(
      `exit of the node told to leave: ${report.leaveCodes.join(', ')}; all agree again: ${report.agreedAgain}`,
    );
    print(report.ok ? 'ok' : 'FAILED');
  },
});
