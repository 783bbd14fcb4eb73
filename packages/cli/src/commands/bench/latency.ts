/** `goldcresthill bench latency`: latency that nodes add, measured on real processes. */
import {runLatencyExperiment} from '@goldcresthill/bench';
import {seededRandom} from '@goldcresthill/test-utils';
import {command, flag, number, option, string} from 'cmd-ts';
import {currentCommand} from '../../input';
import {formatMs, formatTable, print} from '../../output';

export const latencyCommand = command({
  name: 'latency',
  description:
    'Measure the latency added in comparison with the same load sent directly to the servers, in one run.',
  args: {
    servers: option({type: number, long: 'servers', defaultValue: () => 4}),
    perSecond: option({
      type: number,
      long: 'per-second',
      defaultValue: () => 1_000,
      description: 'calls a second, half of them direct',
    }),
    seconds: option({type: number, long: 'seconds', defaultValue: () => 10}),
    depth: option({
      type: number,
      long: 'depth',
      defaultValue: () => 1,
      description: 'depth of nested calls from server to server',
    }),
    serviceMs: option({
      type: number,
      long: 'service-ms',
      defaultValue: () => 0,
    }),
    logs: option({
      type: string,
      long: 'decision-percent',
      defaultValue: () => '100',
      description: 'share of decisions that are logged',
    }),
    seed: option({type: number, long: 'seed', defaultValue: () => 1}),
    asJson: flag({long: 'json', description: 'print JSON'}),
  },
  handler: async args => {
    const report = await runLatencyExperiment({
      command: currentCommand(),
      servers: args.servers,
      perSecond: args.perSecond,
      seconds: args.seconds,
      serviceMs: args.serviceMs,
      depth: args.depth,
      random: seededRandom(args.seed),
      extraSettings: `\n[logs]\ndecision_percent = ${args.logs}\n`,
    });
    if (args.asJson) return print(JSON.stringify(report));
    const rows = [report.direct, report.through].map(stream => [
      stream.name,
      String(stream.answered),
      formatMs(stream.latencyUs.p50),
      formatMs(stream.latencyUs.p90),
      formatMs(stream.latencyUs.p99),
      formatMs(stream.latencyUs.p999),
    ]);
    print(
      formatTable(
        ['STREAM', 'ANSWERED', 'P50 MS', 'P90 MS', 'P99 MS', 'P99.9 MS'],
        rows,
      ),
    );
    const {addedUs, node} = report;
    print(
      `added: p50 ${formatMs(addedUs.p50)}, p99 ${formatMs(addedUs.p99)}, p99.9 ${formatMs(addedUs.p999)} ms`,
    );
    print(
      `a call costs ${Math.round(node.cpuMicrosPerCall)} µs of CPU time on all nodes together`,
    );
    print(
      `maximum memory of a node ${node.rssMegabytes.toFixed(0)} MB, event loop p99 ${formatMs(node.eventLoopP99Us)} ms`,
    );
  },
});
