/** Measures the costs of a node at rest and under load and fits each as a base and a slope. */
import {setTimeout as sleep} from 'node:timers/promises';
import {fitLine} from '../fit';
import type {Line} from '../fit';
import {runLoad} from '../load/open_loop';
import {callerUrl, Fleet} from './fleet';
import type {FleetStatus} from './fleet';

/** Options of a capacity experiment. */
export interface CapacityExperimentOptions {
  readonly command: readonly string[];
  readonly random: () => number;
  /** Numbers of nodes of the fleets measured at rest. */
  readonly fleetSizes: readonly number[];
  readonly restSeconds: number;
  /** Numbers of services in the configuration of a fleet of 3 nodes. */
  readonly serviceCounts: readonly number[];
  /** Calls a second sent to a fleet of 3 nodes. */
  readonly rates: readonly number[];
  readonly loadSeconds: number;
  readonly onProgress: (line: string) => void;
}

/** Measurements of one fleet at rest; processor and memory are means per node, store calls are those of the whole fleet. */
export interface RestPoint {
  readonly nodes: number;
  readonly cpuPercent: number;
  readonly rssMegabytes: number;
  readonly heapMegabytes: number;
  readonly storeCallsPerSecond: number;
  /** Longest time from submitting a ticket until every node had it in force. */
  readonly ticketMs: number;
}

/** Measurements of one fleet under load; processor time is that of all nodes together, memory the maximum of the nodes. */
export interface LoadPoint {
  readonly perSecond: number;
  readonly cpuMicrosPerCall: number;
  readonly rssMegabytes: number;
  readonly p50Us: number;
  readonly p99Us: number;
}

/** Measurements of nodes whose configuration has rules for a number of services; memory is the mean per node. */
export interface ServicesPoint {
  readonly services: number;
  readonly rssMegabytes: number;
  readonly configBytes: number;
  readonly ticketMs: number;
}

/** Report of a capacity experiment. */
export interface CapacityReport {
  readonly rest: readonly RestPoint[];
  readonly services: readonly ServicesPoint[];
  readonly load: readonly LoadPoint[];
  readonly lines: Readonly<Record<string, Line>>;
}

const BYTES_PER_MEGABYTE = 1_048_576;
const MICROS_PER_PERCENT_SECOND = 10_000;
const SETTLE_MS = 5_000;
const FIXED_FLEET_SIZE = 3;
const TICKETS_PER_MEASUREMENT = 3;

/** Measures all points and fits the lines. */
export async function runCapacityExperiment(
  options: CapacityExperimentOptions,
): Promise<CapacityReport> {
  const rest: RestPoint[] = [];
  for (const nodes of options.fleetSizes)
    rest.push(await measureRest(options, nodes));
  const services: ServicesPoint[] = [];
  for (const count of options.serviceCounts) {
    services.push(await measureServices(options, count));
  }
  const load: LoadPoint[] = [];
  for (const rate of options.rates) load.push(await measureLoad(options, rate));
  const lines = {
    'processor at rest, percent of a core, by nodes': fitLine(
      rest.map(p => [p.nodes, p.cpuPercent]),
    ),
    'memory at rest, MB, by nodes': fitLine(
      rest.map(p => [p.nodes, p.rssMegabytes]),
    ),
    'heap at rest, MB, by nodes': fitLine(
      rest.map(p => [p.nodes, p.heapMegabytes]),
    ),
    'store calls a second of the fleet, by nodes': fitLine(
      rest.map(p => [p.nodes, p.storeCallsPerSecond]),
    ),
    'memory, MB, by services': fitLine(
      services.map(p => [p.services, p.rssMegabytes]),
    ),
    'configuration, bytes, by services': fitLine(
      services.map(p => [p.services, p.configBytes]),
    ),
    'processor of the fleet under load, µs a second, by calls a second':
      fitLine(load.map(p => [p.perSecond, p.cpuMicrosPerCall * p.perSecond])),
  };
  return {rest, services, load, lines};
}

async function withFleet<T>(
  options: CapacityExperimentOptions,
  nodes: number,
  measure: (fleet: Fleet) => Promise<T>,
): Promise<T> {
  const service = {
    name: 'echo',
    servers: nodes,
    slots: 50,
    meanMs: 0,
    variability: 0,
  };
  const fleet = new Fleet({
    command: options.command,
    services: [service],
    domains: ['domain-a', 'domain-b', 'domain-c'],
  });
  try {
    await fleet.start();
    await fleet.submit(ticketText(1, 1));
    await fleet.waitForServers(1, nodes, 60_000);
    return await measure(fleet);
  } finally {
    await fleet.close();
  }
}

function ticketText(number: number, services: number): string {
  const names = [
    'echo',
    ...Array.from({length: services - 1}, (_, i) => `service-${i}`),
  ];
  const sections = names.map(name => `[service ${name}]\nwarm_up_ms = 0\n`);
  return `[ticket]\nnumber = ${number}\n${sections.join('')}`;
}

async function measureRest(
  options: CapacityExperimentOptions,
  nodes: number,
): Promise<RestPoint> {
  options.onProgress(`${nodes} nodes at rest`);
  return withFleet(options, nodes, async fleet => {
    await sleep(SETTLE_MS);
    const before = await fleet.statuses();
    await sleep(options.restSeconds * 1_000);
    const after = await fleet.statuses();
    const cpu =
      sumOf(after, s => s.process.cpuMicros) -
      sumOf(before, s => s.process.cpuMicros);
    const calls =
      sumOf(after, s => s.store.made) - sumOf(before, s => s.store.made);
    return {
      nodes,
      cpuPercent: cpu / options.restSeconds / nodes / MICROS_PER_PERCENT_SECOND,
      rssMegabytes:
        sumOf(after, s => s.process.rssBytes) / nodes / BYTES_PER_MEGABYTE,
      heapMegabytes:
        sumOf(after, s => s.process.heapUsedBytes) / nodes / BYTES_PER_MEGABYTE,
      storeCallsPerSecond: calls / options.restSeconds,
      ticketMs: await longestTicketMs(fleet, 1),
    };
  });
}

async function longestTicketMs(
  fleet: Fleet,
  services: number,
): Promise<number> {
  let longest = 0;
  for (let i = 0; i < TICKETS_PER_MEASUREMENT; i++) {
    const revision = i + 2;
    const startedAt = performance.now();
    await fleet.submit(ticketText(revision, services));
    await fleet.waitForAll(s => s.configRevision >= revision);
    longest = Math.max(longest, performance.now() - startedAt);
  }
  return longest;
}

async function measureServices(
  options: CapacityExperimentOptions,
  services: number,
): Promise<ServicesPoint> {
  options.onProgress(`${services} services`);
  return withFleet(options, FIXED_FLEET_SIZE, async fleet => {
    const ticketMs = await longestTicketMs(fleet, services);
    await sleep(SETTLE_MS);
    const after = await fleet.statuses();
    const [first] = fleet.members;
    const res = await fetch(
      `http://127.0.0.1:${first?.ports.operator}/tickets`,
    );
    return {
      services,
      rssMegabytes:
        sumOf(after, s => s.process.rssBytes) /
        after.length /
        BYTES_PER_MEGABYTE,
      configBytes: (await res.text()).length,
      ticketMs,
    };
  });
}

async function measureLoad(
  options: CapacityExperimentOptions,
  perSecond: number,
): Promise<LoadPoint> {
  options.onProgress(`${perSecond} calls a second`);
  return withFleet(options, FIXED_FLEET_SIZE, async fleet => {
    const before = await fleet.statuses();
    const [result] = await runLoad({
      seconds: options.loadSeconds,
      warmUpSeconds: options.loadSeconds / 4,
      random: options.random,
      streams: [
        {
          name: 'load',
          origins: fleet.members.map(callerUrl),
          callsPerSecond: perSecond,
          createCall: () => ({
            method: 'GET',
            path: '/x',
            headers: {'gh-service': 'echo'},
          }),
        },
      ],
    });
    const after = await fleet.statuses();
    const cpu =
      sumOf(after, s => s.process.cpuMicros) -
      sumOf(before, s => s.process.cpuMicros);
    return {
      perSecond,
      cpuMicrosPerCall: cpu / Math.max(1, result?.sent ?? 0),
      rssMegabytes:
        Math.max(...after.map(s => s.process.rssBytes)) / BYTES_PER_MEGABYTE,
      p50Us: result?.latencyUs.p50 ?? 0,
      p99Us: result?.latencyUs.p99 ?? 0,
    };
  });
}

function sumOf(
  statuses: readonly FleetStatus[],
  value: (s: FleetStatus) => number,
): number {
  return statuses.reduce((sum, status) => sum + value(status), 0);
}
