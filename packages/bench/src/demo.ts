/** The demo: a fleet under load, with one server slowed down and one drained. */
import {setTimeout as sleep} from 'node:timers/promises';
import {callerUrl, Fleet} from './fleet/fleet';
import type {FleetMember} from './fleet/fleet';
import {runLoad} from './load/open_loop';
import type {LoadResult} from './load/open_loop';

/** Options of the demo. */
export interface DemoOptions {
  /** Program and leading arguments that run the goldcresthill command line. */
  readonly command: readonly string[];
  readonly seconds: number;
  readonly random: () => number;
  /** Receives progress messages. */
  readonly onProgress: (line: string) => void;
  /** Called with the fleet after the load; the fleet is closed once the returned promise settles. */
  readonly keep?: (fleet: Fleet) => Promise<void>;
}

/** Report of the demo. */
export interface DemoReport {
  readonly nodes: number;
  readonly seconds: number;
  readonly streams: readonly LoadResult[];
  /** Latency of the catalogue stream through the nodes minus that of the direct stream, microseconds. */
  readonly addedUs: {
    readonly p50: number;
    readonly p99: number;
    readonly p999: number;
  };
  readonly ticketInForceMs: number;
  readonly probesPerCall: number;
  /** Probe traffic of all nodes, counting 400 bytes per probe. */
  readonly probeBytesPerSecond: number;
  readonly rssMegabytes: {readonly mean: number; readonly max: number};
  readonly invariants: {readonly checked: number; readonly broken: number};
  /** Requests of the dispatch service that ran more than once at a server. */
  readonly ranTwice: number;
  /** Decision lines in the logs of all nodes. */
  readonly decisionLines: number;
  /** Whether all nodes answered at the end and there was no broken invariant, wrong answer, repeated run or call of unknown outcome. */
  readonly ok: boolean;
}

const CATALOGUE = {
  name: 'catalogue',
  servers: 10,
  slots: 10,
  meanMs: 8,
  variability: 0.5,
};
const DISPATCH = {
  name: 'dispatch',
  servers: 3,
  slots: 10,
  meanMs: 8,
  variability: 0.5,
};
const DOMAINS = ['domain-a', 'domain-b', 'domain-c'];
const CATALOGUE_CALLS_PER_SECOND = 300;
const DISPATCH_CALLS_PER_SECOND = 60;
const DIRECT_CALLS_PER_SECOND = 60;
const SLOWDOWN_FACTOR = 8;
const BYTES_PER_MEGABYTE = 1_048_576;

const TICKET = `[ticket]
number = 1
note = demo: rules of both services

[service catalogue]
deadline_ms = 3000

[service dispatch]
deadline_ms = 3000
once_paths = /book
`;

const drainTicket = (nodeId: string): string => `[ticket]
number = 2
note = demo: ${nodeId} leaves catalogue

[service catalogue]
deadline_ms = 3000
drain_nodes = ${nodeId}
`;

/** Runs the demo and closes its fleet. */
export async function runDemo(options: DemoOptions): Promise<DemoReport> {
  let decisionLines = 0;
  const fleet = new Fleet({
    command: options.command,
    services: [CATALOGUE, DISPATCH],
    domains: DOMAINS,
    handlesInterrupt: options.keep !== undefined,
    onLog: line => {
      if (line.includes('"decision"')) decisionLines++;
    },
  });
  try {
    options.onProgress('starting a stand-in platform, 13 nodes and 13 servers');
    await fleet.start();
    const ticketInForceMs = await submitFirstTicket(fleet, options);
    const streams = await runLoadWithFaults(fleet, options);
    const report = await summarise(fleet, options, streams, ticketInForceMs);
    if (options.keep !== undefined) await options.keep(fleet);
    return {...report, decisionLines};
  } finally {
    await fleet.close();
  }
}

async function submitFirstTicket(
  fleet: Fleet,
  options: DemoOptions,
): Promise<number> {
  await fleet.waitForAll(
    status => status.members.length === fleet.members.length,
  );
  options.onProgress(
    'membership is complete on all nodes; submitting ticket 1',
  );
  await fleet.submit(TICKET);
  const inForceMs = await fleet.waitForAll(
    status => status.configRevision === 1,
  );
  options.onProgress(
    `ticket 1 in force everywhere after ${Math.round(inForceMs)} ms`,
  );
  await fleet.waitForServers(1, fleet.members.length);
  return inForceMs;
}

async function runLoadWithFaults(
  fleet: Fleet,
  options: DemoOptions,
): Promise<LoadResult[]> {
  const origins = fleet.members.map(callerUrl);
  const catalogue = fleet.members.filter(m => m.service === 'catalogue');
  const direct = catalogue
    .slice(2)
    .map(m => `http://127.0.0.1:${m.serverPort}`);
  const load = runLoad({
    seconds: options.seconds,
    warmUpSeconds: Math.min(2, options.seconds / 4),
    random: options.random,
    streams: [
      {
        name: 'catalogue',
        origins,
        callsPerSecond: CATALOGUE_CALLS_PER_SECOND,
        createCall: () => ({
          method: 'GET',
          path: '/stock',
          headers: {'gh-service': 'catalogue'},
        }),
      },
      {
        name: 'dispatch',
        origins,
        callsPerSecond: DISPATCH_CALLS_PER_SECOND,
        createCall: () => ({
          method: 'POST',
          path: '/book',
          body: 'slot=7',
          headers: {'gh-service': 'dispatch'},
        }),
      },
      {
        name: 'direct',
        origins: direct,
        callsPerSecond: DIRECT_CALLS_PER_SECOND,
        createCall: () => ({method: 'GET', path: '/stock'}),
      },
    ],
  });
  await Promise.all([load, injectFaults(fleet, catalogue, options)]);
  return load;
}

async function injectFaults(
  fleet: Fleet,
  catalogue: readonly FleetMember[],
  options: DemoOptions,
): Promise<void> {
  const [slow, leaving] = catalogue;
  const third = (options.seconds * 1_000) / 3;
  await sleep(third);
  if (slow !== undefined) {
    await fleet.control(slow, `slowdown/${SLOWDOWN_FACTOR}`);
    options.onProgress(
      `the server on ${slow.nodeId} is now ${SLOWDOWN_FACTOR} times slower`,
    );
  }
  await sleep(third);
  if (leaving !== undefined) {
    await fleet.submit(drainTicket(leaving.nodeId));
    options.onProgress(
      `ticket 2: the catalogue server on ${leaving.nodeId} drains`,
    );
  }
}

async function summarise(
  fleet: Fleet,
  options: DemoOptions,
  streams: LoadResult[],
  ticketInForceMs: number,
): Promise<Omit<DemoReport, 'decisionLines'>> {
  const statuses = await fleet.statuses();
  const rss = statuses.map(s => s.process.rssBytes / BYTES_PER_MEGABYTE);
  const probes = await countProbes(fleet);
  const sent = streams
    .filter(s => s.name !== 'direct')
    .reduce((n, s) => n + s.sent, 0);
  const throughNodes = streams.find(s => s.name === 'catalogue')?.latencyUs;
  const direct = streams.find(s => s.name === 'direct')?.latencyUs;
  const addedBy = (
    pick: (p: NonNullable<typeof throughNodes>) => number,
  ): number =>
    throughNodes === undefined || direct === undefined
      ? 0
      : pick(throughNodes) - pick(direct);
  const ranTwice = await countRepeatedRuns(fleet);
  const checked = statuses.reduce((n, s) => n + s.invariants.checked, 0);
  const broken = statuses.reduce((n, s) => n + s.invariants.broken, 0);
  const wrong = streams.reduce((n, s) => n + s.wrong, 0);
  const lost = streams.reduce((n, s) => n + s.unknown, 0);
  return {
    nodes: statuses.length,
    seconds: options.seconds,
    streams,
    addedUs: {
      p50: addedBy(p => p.p50),
      p99: addedBy(p => p.p99),
      p999: addedBy(p => p.p999),
    },
    ticketInForceMs,
    probesPerCall: probes / Math.max(1, sent),
    probeBytesPerSecond: (probes * 400) / options.seconds,
    rssMegabytes: {
      mean: rss.reduce((a, b) => a + b, 0) / Math.max(1, rss.length),
      max: Math.max(...rss),
    },
    invariants: {checked, broken},
    ranTwice,
    ok:
      broken === 0 &&
      wrong === 0 &&
      ranTwice === 0 &&
      lost === 0 &&
      statuses.length === 13,
  };
}

async function countRepeatedRuns(fleet: Fleet): Promise<number> {
  let repeats = 0;
  for (const member of fleet.members.filter(m => m.service === 'dispatch')) {
    const runs = (await fleet.control(member, 'runs')) as
      {twice: unknown[]} | undefined;
    repeats += runs?.twice.length ?? 0;
  }
  return repeats;
}

async function countProbes(fleet: Fleet): Promise<number> {
  let probes = 0;
  for (const member of fleet.members) {
    const res = await fetch(
      `http://127.0.0.1:${member.ports.operator}/metrics`,
    );
    const text = await res.text();
    for (const match of text.matchAll(
      /^goldcresthill_probes_total\S* (\d+)$/gm,
    )) {
      probes += Number(match[1]);
    }
  }
  return probes;
}
