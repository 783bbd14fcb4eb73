/** Measures the latency that the path through two nodes adds to the same load sent directly to the servers. */
import type {LoadResult, LoadStream} from '../load/open_loop';
import {runLoad} from '../load/open_loop';
import {callerUrl, Fleet} from './fleet';

/** Options of a latency experiment. */
export interface LatencyExperimentOptions {
  readonly command: readonly string[];
  readonly servers: number;
  /** Calls a second, half of them sent directly to the servers. */
  readonly perSecond: number;
  readonly seconds: number;
  readonly random: () => number;
  readonly serviceMs?: number;
  /** Depth of nested calls through the nodes, 1 by default; direct calls are not nested. */
  readonly depth?: number;
  /** Appended to the settings of each node. */
  readonly extraSettings?: string;
}

/** Report of a latency experiment; times in microseconds. */
export interface LatencyReport {
  readonly perSecond: number;
  readonly through: LoadResult;
  readonly direct: LoadResult;
  /** Latency through the nodes minus that of direct calls. */
  readonly addedUs: {
    readonly p50: number;
    readonly p99: number;
    readonly p999: number;
  };
  /** Processor time is that of all nodes together; the other values are the maximum of the nodes. */
  readonly node: {
    readonly cpuMicrosPerCall: number;
    readonly rssMegabytes: number;
    readonly eventLoopP99Us: number;
  };
}

const SERVICE = 'echo';
const SLOTS = 50;
const WARM_UP_SECONDS = 3;
const BYTES_PER_MEGABYTE = 1_048_576;

const TICKET = `[ticket]
number = 1

[service ${SERVICE}]
warm_up_ms = 0
`;

/** Runs both streams in parallel, against the same servers in one failure domain. */
export async function runLatencyExperiment(
  options: LatencyExperimentOptions,
): Promise<LatencyReport> {
  const service = {
    name: SERVICE,
    servers: options.servers,
    slots: SLOTS,
    meanMs: options.serviceMs ?? 0,
    variability: 0,
  };
  const fleet = new Fleet({
    command: options.command,
    services: [service],
    domains: ['domain-a'],
    extraSettings: options.extraSettings,
  });
  try {
    await fleet.start();
    await fleet.submit(TICKET);
    await fleet.waitForServers(1, options.servers);
    return await measure(fleet, options);
  } finally {
    await fleet.close();
  }
}

async function measure(
  fleet: Fleet,
  options: LatencyExperimentOptions,
): Promise<LatencyReport> {
  const before = await fleet.statuses();
  const createCall: LoadStream['createCall'] = () => ({
    method: 'GET',
    path: '/stock',
    headers: {'gh-service': SERVICE},
  });
  const perSecond = options.perSecond / 2;
  const [through, direct] = await runLoad({
    seconds: options.seconds + WARM_UP_SECONDS,
    warmUpSeconds: WARM_UP_SECONDS,
    random: options.random,
    streams: [
      {
        name: 'through',
        origins: fleet.members.map(callerUrl),
        callsPerSecond: perSecond,
        createCall: id => ({
          ...createCall(id),
          path: `/chain?depth=${options.depth ?? 1}`,
        }),
      },
      {
        name: 'direct',
        origins: fleet.members.map(m => `http://127.0.0.1:${m.serverPort}`),
        callsPerSecond: perSecond,
        createCall,
      },
    ],
  });
  if (through === undefined || direct === undefined)
    throw new Error('a load stream has no result');
  const after = await fleet.statuses();
  const cpu =
    sum(after.map(s => s.process.cpuMicros)) -
    sum(before.map(s => s.process.cpuMicros));
  const t = through.latencyUs;
  const d = direct.latencyUs;
  return {
    perSecond: options.perSecond,
    through,
    direct,
    addedUs: {p50: t.p50 - d.p50, p99: t.p99 - d.p99, p999: t.p999 - d.p999},
    node: {
      cpuMicrosPerCall: cpu / Math.max(1, through.sent),
      rssMegabytes:
        Math.max(...after.map(s => s.process.rssBytes)) / BYTES_PER_MEGABYTE,
      eventLoopP99Us: Math.max(...after.map(s => s.process.eventLoopP99Us)),
    },
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((a, b) => a + b, 0);
}
