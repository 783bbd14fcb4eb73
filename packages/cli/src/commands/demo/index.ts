/** `goldcresthill demo`: a fleet of processes under load on this machine. */
import {runDemo} from '@goldcresthill/bench';
import type {DemoReport, Fleet} from '@goldcresthill/bench';
import {callerUrl, operatorUrl} from '@goldcresthill/bench';
import {seededRandom} from '@goldcresthill/test-utils';
import {command, flag, number, option} from 'cmd-ts';
import {EXIT} from '../../exit_codes';
import {currentCommand} from '../../input';
import {formatMs, formatTable, print, printError} from '../../output';

const DEFAULT_SECONDS = 20;

export const demoCommand = command({
  name: 'demo',
  description:
    'Run 13 nodes and servers under load, with one server slowed down and one drained.',
  args: {
    seconds: option({
      type: number,
      long: 'seconds',
      defaultValue: () => DEFAULT_SECONDS,
      description: 'duration of the load',
    }),
    seed: option({type: number, long: 'seed', defaultValue: () => 1}),
    asJson: flag({
      long: 'json',
      description: 'print the report as one JSON line',
    }),
    keep: flag({
      long: 'keep',
      description: 'keep the fleet running until Ctrl-C',
    }),
  },
  handler: async ({seconds, seed, asJson, keep}) => {
    const report = await runDemo({
      command: currentCommand(),
      seconds,
      random: seededRandom(seed),
      onProgress: line => printError(`· ${line}`),
      keep: keep ? waitForInterrupt : undefined,
    });
    if (asJson) print(JSON.stringify(report));
    else printReport(report);
    process.exitCode = report.ok ? EXIT.ok : EXIT.checkFailed;
  },
});

async function waitForInterrupt(fleet: Fleet): Promise<void> {
  const [first] = fleet.members;
  if (first === undefined) return;
  print(`curl -i -H 'gh-service: catalogue' ${callerUrl(first)}/stock`);
  print(
    `status: --node ${operatorUrl(first).replace('http://', '')}; Ctrl-C ends it`,
  );
  await new Promise(done => process.once('SIGINT', done));
}

function printReport(report: DemoReport): void {
  const rows = report.streams.map(s => [
    s.name,
    String(s.sent),
    (s.answered / report.seconds).toFixed(0),
    formatMs(s.latencyUs.p50),
    formatMs(s.latencyUs.p99),
    formatMs(s.latencyUs.p999),
    String(s.refusedSafely),
    String(s.unknown),
    String(s.wrong),
  ]);
  const columns = [
    'STREAM',
    'SENT',
    'PER S',
    'P50 MS',
    'P99 MS',
    'P99.9 MS',
    'NOT RUN',
    'UNKNOWN',
    'WRONG',
  ];
  print(formatTable(columns, rows));
  const {addedUs, rssMegabytes, invariants} = report;
  print(
    `catalogue over direct (the direct stream misses the slow server): p50 ${formatMs(addedUs.p50)}, p99 ${formatMs(addedUs.p99)}, p99.9 ${formatMs(addedUs.p999)} ms`,
  );
  print(
    `ticket in force everywhere after ${Math.round(report.ticketInForceMs)} ms`,
  );
  print(
    `cost of probing: ${report.probesPerCall.toFixed(3)} probes a call, ${Math.round(report.probeBytesPerSecond)} bytes/s in total`,
  );
  print(
    `memory of a node: mean ${rssMegabytes.mean.toFixed(0)} MB, maximum ${rssMegabytes.max.toFixed(0)} MB`,
  );
  print(`decision lines logged: ${report.decisionLines}`);
  print(
    `invariants: ${invariants.checked} checked, ${invariants.broken} broken; run twice: ${report.ranTwice}`,
  );
  print(report.ok ? 'ok' : 'FAILED');
}
