/** Injects faults into real processes under load: SIGTERM, SIGKILL, SIGSTOP, the death of a server and an outage of the store. */
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import type {LoadResult} from '../load/open_loop';
import {runLoad} from '../load/open_loop';
import {callerUrl, killProcess, Fleet} from './fleet';
import type {FleetMember} from './fleet';

/** Options of a fault experiment. */
export interface FaultExperimentOptions {
  readonly command: readonly string[];
  readonly random: () => number;
  readonly onProgress: (line: string) => void;
}

/** Report of a fault experiment. */
export interface FaultReport {
  readonly streams: readonly LoadResult[];
  /** Bookings and keyed orders that ran more than once. */
  readonly ranTwice: number;
  readonly brokenInvariants: number;
  /** Exit codes of the nodes that got SIGTERM. */
  readonly leaveCodes: ReadonlyArray<number | null>;
  /** Whether every running node saw all members alive again after the faults. */
  readonly agreedAgain: boolean;
  readonly ok: boolean;
}

const SERVER_COUNT = 6;
const LOAD_SECONDS = 24;
const FAULT_INTERVAL_MS = 3_000;
const STOPPED_MS = 2_500;

const TICKET = `[ticket]
number = 1

[service orders]
deadline_ms = 3000
warm_up_ms = 0
`;

/** Runs load on a fleet with a server on each of 6 VMs and injects one fault after another. */
export async function runFaultExperiment(
  options: FaultExperimentOptions,
): Promise<FaultReport> {
  const fleet = new Fleet({
    command: options.command,
    services: [
      {
        name: 'orders',
        servers: SERVER_COUNT,
        slots: 10,
        meanMs: 5,
        variability: 0.5,
      },
    ],
    domains: ['domain-a', 'domain-b', 'domain-c'],
  });
  try {
    await fleet.start();
    await fleet.submit(TICKET);
    await fleet.waitForServers(1, SERVER_COUNT);
    const leaveCodes: Array<number | null> = [];
    const [streams] = await Promise.all([
      runOrdersLoad(fleet, options),
      injectFaults(fleet, options, leaveCodes),
    ]);
    return await buildReport(fleet, streams, leaveCodes);
  } finally {
    await fleet.close();
  }
}

// Calls go to the two nodes that get no fault, as a real caller tries the next node when one refuses the connection.
function runOrdersLoad(
  fleet: Fleet,
  options: FaultExperimentOptions,
): Promise<LoadResult[]> {
  const origins = fleet.members.slice(4).map(callerUrl);
  const headers = {'gh-service': 'orders'};
  return runLoad({
    seconds: LOAD_SECONDS,
    random: options.random,
    streams: [
      {
        name: 'lookups',
        origins,
        callsPerSecond: 150,
        createCall: () => ({method: 'GET', path: '/stock', headers}),
      },
      {
        name: 'bookings',
        origins,
        callsPerSecond: 60,
        createCall: () => ({method: 'POST', path: '/book', body: 'b', headers}),
      },
      {
        name: 'orders',
        origins,
        callsPerSecond: 10,
        createCall: id => ({
          method: 'POST',
          path: '/order',
          body: id,
          headers: {...headers, 'idempotency-key': id},
        }),
      },
    ],
  });
}

async function injectFaults(
  fleet: Fleet,
  options: FaultExperimentOptions,
  leaveCodes: Array<number | null>,
): Promise<void> {
  const [a, b, c, d] = fleet.members;
  if (a === undefined || b === undefined || c === undefined || d === undefined)
    return;
  const reportProgress = options.onProgress;
  await sleep(FAULT_INTERVAL_MS);
  reportProgress(
    `sending SIGTERM to the node on ${a.nodeId}, then restarting node and server`,
  );
  leaveCodes.push(await terminateNode(a));
  await killProcess(a.server);
  fleet.restart(a);
  await sleep(FAULT_INTERVAL_MS);
  reportProgress(
    `killing the node on ${b.nodeId} with SIGKILL; its server keeps running`,
  );
  await killProcess(b.node);
  await sleep(FAULT_INTERVAL_MS);
  reportProgress(
    `stopping the node on ${c.nodeId} with SIGSTOP for ${STOPPED_MS} ms`,
  );
  c.node.kill('SIGSTOP');
  await sleep(STOPPED_MS);
  c.node.kill('SIGCONT');
  await sleep(FAULT_INTERVAL_MS);
  reportProgress(`killing the server on ${d.nodeId} with SIGKILL`);
  await killProcess(d.server);
  await sleep(FAULT_INTERVAL_MS);
  reportProgress('taking the store down, then up again');
  await setPlatformMode(fleet, 'down');
  await sleep(FAULT_INTERVAL_MS);
  await setPlatformMode(fleet, 'up');
  await killProcess(b.server);
  fleet.restart(b);
  await sleep(FAULT_INTERVAL_MS);
}

function terminateNode(member: FleetMember): Promise<number | null> {
  return new Promise(done => {
    member.node.once('exit', code => done(code));
    member.node.kill('SIGTERM');
  });
}

async function setPlatformMode(fleet: Fleet, mode: string): Promise<void> {
  const res = await request(`${fleet.platformUrl}/mode/${mode}`, {
    method: 'PUT',
  });
  await res.body.dump();
}

async function buildReport(
  fleet: Fleet,
  streams: LoadResult[],
  leaveCodes: Array<number | null>,
): Promise<FaultReport> {
  const agreedAgain = await fleet
    .waitForAll(
      s => s.members.filter(m => m.status === 'alive').length === SERVER_COUNT,
    )
    .then(
      () => true,
      () => false,
    );
  const ranTwice = await countRepeatedRuns(fleet);
  const statuses = await fleet.statuses();
  const brokenInvariants = statuses.reduce(
    (n, s) => n + s.invariants.broken,
    0,
  );
  const wrong = streams.reduce((n, s) => n + s.wrong, 0);
  const ok =
    wrong === 0 &&
    ranTwice === 0 &&
    brokenInvariants === 0 &&
    agreedAgain &&
    leaveCodes.every(c => c === 0);
  return {streams, ranTwice, brokenInvariants, leaveCodes, agreedAgain, ok};
}

// Compares the runs of all servers that are alive; runs at a server that was killed are lost.
async function countRepeatedRuns(fleet: Fleet): Promise<number> {
  const seen = new Set<string>();
  let repeats = 0;
  for (const member of fleet.members) {
    const runs = (await fleet.control(member, 'runs')) as
      {twice?: string[][]} | undefined;
    repeats += (runs?.twice ?? []).filter(
      ([id]) => !id?.startsWith('lookups'),
    ).length;
    const ids =
      ((await fleet.control(member, 'ids')) as string[] | undefined) ?? [];
    for (const id of ids.filter(name => !name.startsWith('lookups'))) {
      if (seen.has(id)) repeats++;
      seen.add(id);
    }
  }
  return repeats;
}
