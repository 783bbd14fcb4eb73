/** `goldcresthill bench capacity`: a node's resource costs, each fitted as a base and a slope. */
import {runCapacityExperiment} from '@goldcresthill/bench';
import type {CapacityReport} from '@goldcresthill/bench';
import {seededRandom} from '@goldcresthill/test-utils';
import {command, flag, number, option, string} from 'cmd-ts';
import {currentCommand} from '../../input';
import {formatMs, formatTable, print, printError} from '../../output';

const parseNumbers = (text: string): number[] => text.split(',').map(Number);

export const capacityCommand = command({
  name: 'capacity',
  description:
    'Measure a node at rest, with services and under load, and fit a line to each cost.',
  args: {
    nodes: option({
      type: string,
      long: 'nodes',
      defaultValue: () => '3,12,30,48',
    }),
    services: option({
      type: string,
      long: 'services',
      defaultValue: () => '1,12,37',
    }),
    rates: option({
      type: string,
      long: 'rates',
      defaultValue: () => '200,600,1200,2000',
    }),
    restSeconds: option({
      type: number,
      long: 'rest-seconds',
      defaultValue: () => 15,
    }),
    loadSeconds: option({
      type: number,
      long: 'load-seconds',
      defaultValue: () => 10,
    }),
    asJson: flag({long: 'json', description: 'print JSON'}),
  },
  handler: async args => {
    const report = await runCapacityExperiment({
      command: currentCommand(),
      random: seededRandom(1),
      fleetSizes: parseNumbers(args.nodes),
      serviceCounts: parseNumbers(args.services),
      rates: parseNumbers(args.rates),
      restSeconds: args.restSeconds,
      loadSeconds: args.loadSeconds,
      onProgress: line => printError(`· ${line}`),
    });
    print(args.asJson ? JSON.stringify(report) : formatReport(report));
  },
});

function formatReport(report: CapacityReport): string {
  const rest = report.rest.map(p => [
    String(p.nodes),
    p.cpuPercent.toFixed(2),
    p.rssMegabytes.toFixed(0),
    p.storeCallsPerSecond.toFixed(2),
    p.ticketMs.toFixed(0),
  ]);
  const services = report.services.map(p => [
    String(p.services),
    p.rssMegabytes.toFixed(0),
    String(p.configBytes),
    p.ticketMs.toFixed(0),
  ]);
  const load = report.load.map(p => [
    String(p.perSecond),
    p.cpuMicrosPerCall.toFixed(0),
    p.rssMegabytes.toFixed(0),
    formatMs(p.p50Us),
    formatMs(p.p99Us),
  ]);
  const lines = Object.entries(report.lines).map(([name, line]) => [
    name,
    line.base.toPrecision(4),
    line.slope.toPrecision(4),
    line.residual.toPrecision(3),
  ]);
  return [
    formatTable(
      ['NODES', 'CPU %', 'RSS MB', 'STORE CALLS/S', 'TICKET MS'],
      rest,
    ),
    formatTable(['SERVICES', 'RSS MB', 'CONFIG BYTES', 'TICKET MS'], services),
    formatTable(['CALLS/S', 'CPU µS/CALL', 'RSS MB', 'P50 MS', 'P99 MS'], load),
    formatTable(['LINE', 'BASE', 'SLOPE', 'RESIDUAL'], lines),
  ].join('\n\n');
}
